import type { CrashEvidence } from "../quarantine/crash_evidence.ts";
import { getQuarantineEnd } from "../quarantine/get_quarantine_end.ts";
import { CrashEvidencePurpose } from "./crash_evidence_purpose.ts";
import { exchangeCrashEvidence } from "./exchange_crash_evidence.ts";
import { listPeerHosts } from "./list_peer_hosts.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Pauses before further attempts to reach a node. The last ones reach a node that
 * was paused or cut off for some seconds.
 */
const retryPausesMilliseconds = [300, 800, 1_500, 3_000, 5_000, 10_000];
/** Nodes that are sent evidence at the same time; bounds the connections. */
const concurrentNodesMaximum = 64;

/**
 * Sends new evidence of crashes to the nodes that need it: those of the same
 * service, which may admit the requests, and of a quarantined request all nodes.
 */
export async function pushCrashEvidence(
  node: MeshNode,
  evidence: readonly CrashEvidence[],
): Promise<void> {
  if (evidence.length === 0) return;
  const { ownService, otherServices } = listPeerHosts(node);
  const quarantined = evidence.filter(({ fingerprint }) =>
    getQuarantineEnd(node.quarantine.suspects.get(fingerprint)) > 0
  );
  await Promise.all([
    pushToHosts(node, { hosts: ownService, evidence }),
    pushToHosts(node, { hosts: otherServices, evidence: quarantined }),
  ]);
}

interface Push {
  readonly hosts: readonly string[];
  readonly evidence: readonly CrashEvidence[];
}

async function pushToHosts(node: MeshNode, push: Push): Promise<void> {
  const { hosts, evidence } = push;
  if (hosts.length === 0 || evidence.length === 0) return;
  const batch = hosts.slice(0, concurrentNodesMaximum);
  await Promise.all(
    batch.map((host) => pushToHost(node, { host, evidence, retries: 0 })),
  );
  const rest = hosts.slice(concurrentNodesMaximum);
  await pushToHosts(node, { hosts: rest, evidence });
}

/**
 * Sends evidence to a node, again after a pause if it does not reply. Resolves
 * after the first attempt, so that the next nodes do not wait for this one.
 */
async function pushToHost(
  node: MeshNode,
  options: {
    readonly host: string;
    readonly evidence: readonly CrashEvidence[];
    /** Number of attempts before this one. */
    readonly retries: number;
  },
): Promise<void> {
  const { host, evidence, retries } = options;
  const purpose = CrashEvidencePurpose.Push;
  const hasReplied = await exchangeCrashEvidence(node, {
    host,
    purpose,
    evidence,
  });
  const pause = retryPausesMilliseconds[retries];
  if (hasReplied || pause === undefined) return;
  node.timers.at(
    node.clock.now() + pause,
    () => void pushToHost(node, { host, evidence, retries: retries + 1 }),
  );
}
