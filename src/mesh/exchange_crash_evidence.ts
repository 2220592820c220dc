import { type IncomingMessage, request as sendRequest } from "node:http";
import { text } from "node:stream/consumers";
import type { CrashEvidence } from "../quarantine/crash_evidence.ts";
import type { CrashEvidencePurpose } from "./crash_evidence_purpose.ts";
import { decodeCrashEvidence } from "./decode_crash_evidence.ts";
import { limitReceivedBytes } from "./limit_received_bytes.ts";
import { mergeReceivedEvidence } from "./merge_received_evidence.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";
import { trackConnection } from "./track_connection.ts";

const replyTimeoutMilliseconds = 1_000;
const replyBytesMaximum = 4_194_304;
const okStatus = 200;

/**
 * Sends evidence of crashes to the node on `host` and merges its reply. Resolves
 * with whether the node has replied.
 */
export function exchangeCrashEvidence(
  node: MeshNode,
  options: {
    readonly host: string;
    readonly purpose: CrashEvidencePurpose;
    readonly evidence: readonly CrashEvidence[];
  },
): Promise<boolean> {
  const { host, purpose, evidence } = options;
  const body = JSON.stringify(evidence);
  return new Promise((resolve) => {
    const outgoing = sendRequest({
      agent: node.nodesAgent,
      host,
      port: node.settings.listeners.nodes.port,
      method: "POST",
      headers: {
        [OfferHeader.CrashEvidence]: purpose,
        "content-length": String(Buffer.byteLength(body)),
      },
    });
    const timer = node.timers.at(
      node.clock.now() + replyTimeoutMilliseconds,
      () => outgoing.destroy(),
    );
    limitReceivedBytes(outgoing, { bytesMaximum: replyBytesMaximum });
    trackConnection(outgoing);
    outgoing.once("response", (reply) => {
      mergeReply(node, reply).then(resolve, () => resolve(false));
    });
    outgoing.on("error", () => resolve(false));
    outgoing.once("close", () => {
      timer.cancel();
      resolve(false);
    });
    outgoing.end(body);
  });
}

async function mergeReply(
  node: MeshNode,
  reply: IncomingMessage,
): Promise<boolean> {
  const received = decodeCrashEvidence(await text(reply));
  mergeReceivedEvidence(node, received);
  return reply.statusCode === okStatus;
}
