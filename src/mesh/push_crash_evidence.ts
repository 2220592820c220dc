import type { CrashEvidence } from "../quarantine/crash_evidence.ts";
import { getQuarantineEnd } from "../quarantine/get_quarantine_end.ts";
import { CrashEvidencePurpose } from "./crash_evidence_purpose.ts";
import { exchangeCrashEvidence } from "./exchange_crash_evidence.ts";
import { listPeerHosts } from "./list_peer_hosts.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Pauses before the attempts to reach a node; packets may be lost for seconds. */
const pausesMilliseconds = [0, 300, 800, 1_500];
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
  await pushToHosts(node, { hosts: ownService, evidence });
  if (quarantined.length === 0) return;
  await pushToHosts(node, { hosts: otherServices, evidence: quarantined });
}

interface Push {
  readonly hosts: readonly string[];
  readonly evidence: readonly CrashEvidence[];
}

async function pushToHosts(node: MeshNode, push: Push): Promise<void> {
  const { hosts, evidence } = push;
  if (hosts.length === 0) return;
  const batch = hosts.slice(0, concurrentNodesMaximum);
  const attempts = batch.map((host) =>
    pushToHost(node, { host, evidence, attempt: 0 })
  );
  const rest = hosts.slice(concurrentNodesMaximum);
  // The next nodes do not wait for those that cannot be reached.
  await Promise.all(attempts.map(({ first }) => first));
  await pushToHosts(node, { hosts: rest, evidence });
}

/** Sends evidence until the node replies; `first` is the first attempt. */
function pushToHost(
  node: MeshNode,
  options: {
    readonly host: string;
    readonly evidence: readonly CrashEvidence[];
    readonly attempt: number;
  },
): { readonly first: Promise<void> } {
  const { host, evidence, attempt } = options;
  const purpose = CrashEvidencePurpose.Push;
  const first = exchangeCrashEvidence(node, { host, purpose, evidence })
    .then((hasReplied) => {
      const pause = pausesMilliseconds[attempt + 1];
      if (hasReplied || pause === undefined) return;
      node.timers.at(
        node.clock.now() + pause,
        () => void pushToHost(node, { host, evidence, attempt: attempt + 1 }),
      );
    });
  return { first };
}
