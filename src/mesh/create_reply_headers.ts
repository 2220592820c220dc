import { OfferHeader } from "./offer_header.ts";
import type { ReplyMessage } from "./reply_message.ts";

/** Returns the headers of a reply to another node, as alternating names and values. */
export function createReplyHeaders(message: ReplyMessage): readonly string[] {
  return [OfferHeader.Reply, JSON.stringify(message)];
}
