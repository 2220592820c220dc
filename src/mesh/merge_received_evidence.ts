import type { CrashEvidence } from "../quarantine/crash_evidence.ts";
import { getQuarantineEnd } from "../quarantine/get_quarantine_end.ts";
import { mergeCrashEvidence } from "../quarantine/merge_crash_evidence.ts";
import type { MeshNode } from "./mesh_node.ts";
import { processWaitingCalls } from "./process_waiting_calls.ts";

/** Merges the evidence of another node and reports what it changes. */
export function mergeReceivedEvidence(
  node: MeshNode,
  received: readonly CrashEvidence[],
): void {
  const now = node.clock.now();
  received
    .filter((evidence) =>
      mergeCrashEvidence(node.quarantine, { evidence, now })
    )
    .forEach(({ fingerprint }) => reportSuspect(node, fingerprint));
  processWaitingCalls(node);
}

function reportSuspect(node: MeshNode, fingerprint: string): void {
  const suspect = node.quarantine.suspects.get(fingerprint);
  node.report.state("quarantine", {
    fingerprint,
    crashes: suspect?.crashes ?? 0,
    refused: getQuarantineEnd(suspect) > node.clock.now(),
  });
}
