import type { CrashEvidence } from "../quarantine/crash_evidence.ts";
import type { CrashEvidencePurpose } from "./crash_evidence_purpose.ts";
import { decodeCrashEvidence } from "./decode_crash_evidence.ts";
import { mergeReceivedEvidence } from "./merge_received_evidence.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";
import { requestNode } from "./request_node.ts";

const replyTimeoutMilliseconds = 1_000;

/**
 * Sends evidence of crashes to the node on `host` and merges its reply. Resolves
 * with whether the node has replied.
 */
export async function exchangeCrashEvidence(
  node: MeshNode,
  options: {
    readonly host: string;
    readonly purpose: CrashEvidencePurpose;
    readonly evidence: readonly CrashEvidence[];
  },
): Promise<boolean> {
  const { host, purpose, evidence } = options;
  const reply = await requestNode(node, {
    host,
    headers: { [OfferHeader.CrashEvidence]: purpose },
    body: JSON.stringify(evidence),
    deadline: node.clock.now() + replyTimeoutMilliseconds,
  });
  if (reply === undefined) return false;
  mergeReceivedEvidence(node, decodeCrashEvidence(reply));
  return true;
}
