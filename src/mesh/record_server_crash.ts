import { recordCrash } from "../quarantine/record_crash.ts";
import { getOwnServerIdentifier } from "./get_own_server_identifier.ts";
import type { MeshNode } from "./mesh_node.ts";
import { pushCrashEvidence } from "./push_crash_evidence.ts";

/**
 * Records a crash of the backend server of this VM and tells the other nodes.
 * `running` has the fingerprints of the requests that it was running.
 */
export function recordServerCrash(
  node: MeshNode,
  running: readonly string[],
): void {
  const now = node.clock.now();
  const identifier = getOwnServerIdentifier(node) ?? node.settings.vm;
  const evidence = recordCrash(node.quarantine, {
    crashIdentifier: `${identifier} ${Math.round(now)}`,
    running,
    now,
  });
  node.report.state("backend-server", {
    crashed: true,
    running,
    suspects: evidence.map(({ fingerprint, crashes }) => ({
      fingerprint,
      crashes,
    })),
  });
  void pushCrashEvidence(node, evidence);
}
