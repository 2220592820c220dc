import { tryParseJson } from "../daemon/try_parse_json.ts";
import type { QuotaMessage } from "../quotas/quota_message.ts";
import { encodeHeaderJson } from "./encode_header_json.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";
import { requestNode } from "./request_node.ts";

/** A call that waits for a slow granter can still be answered in time. */
const replyMilliseconds = 300;

/**
 * Sends a message about a quota to the node on `host`; resolves with its reply,
 * undefined if there is none in time.
 */
export async function sendQuotaMessage(
  node: MeshNode,
  message: QuotaMessage,
  { host }: { readonly host: string },
): Promise<unknown> {
  const request = {
    host,
    headers: {
      [OfferHeader.Quota]: encodeHeaderJson(message),
    },
    body: "",
    deadline: node.clock.now() + replyMilliseconds,
  };
  // A connection that was kept may have been reset; the message may be repeated.
  const reply = await requestNode(node, request) ??
    (node.clock.now() < request.deadline
      ? await requestNode(node, request)
      : undefined);
  return reply === undefined ? undefined : tryParseJson(reply);
}
