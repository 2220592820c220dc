import { shuffle } from "../peers/shuffle.ts";
import { CrashEvidencePurpose } from "./crash_evidence_purpose.ts";
import { exchangeCrashEvidence } from "./exchange_crash_evidence.ts";
import { listPeerHosts } from "./list_peer_hosts.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Nodes of the same service that are queried; one may have just started too. */
const queriedNodesOfService = 2;
/** Nodes of other services that are queried, which know what is quarantined. */
const queriedOtherNodes = 1;
const attemptsMaximum = 4;
const attemptIntervalMilliseconds = 500;

/**
 * Learns from a few other nodes which requests are quarantined, after this one
 * has started with no memory. Tries again with others while none replies.
 */
export async function queryCrashEvidence(
  node: MeshNode,
  attempt = 1,
): Promise<void> {
  const { ownService, otherServices } = listPeerHosts(node);
  const hosts = [
    ...shuffle(ownService, node.random).slice(0, queriedNodesOfService),
    ...shuffle(otherServices, node.random).slice(0, queriedOtherNodes),
  ];
  const purpose = CrashEvidencePurpose.Query;
  const replies = await Promise.all(
    hosts.map((host) =>
      exchangeCrashEvidence(node, { host, purpose, evidence: [] })
    ),
  );
  const hasReply = replies.some((hasReplied) => hasReplied);
  if (hasReply || attempt >= attemptsMaximum) return;
  node.timers.at(
    node.clock.now() + attemptIntervalMilliseconds,
    () => void queryCrashEvidence(node, attempt + 1),
  );
}
