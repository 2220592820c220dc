import { tryParseJson } from "../daemon/try_parse_json.ts";
import { isReplyMessage } from "./is_reply_message.ts";
import type { ReplyMessage } from "./reply_message.ts";

/**
 * Decodes the reply in a header; returns undefined if the text is not a valid
 * reply.
 */
export function decodeReply(text: unknown): ReplyMessage | undefined {
  if (typeof text !== "string") return undefined;
  const message = tryParseJson(text);
  return isReplyMessage(message) ? message : undefined;
}
