import { RefusalReason } from "../calls/refusal_reason.ts";
import { tryParseJson } from "../daemon/try_parse_json.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import type { ReplyMessage } from "./reply_message.ts";

const kinds: readonly unknown[] = Object.values(OfferOutcomeKind);
const reasons: readonly unknown[] = Object.values(RefusalReason);

/**
 * Decodes the reply in a header; returns undefined if the text is not a valid
 * reply.
 */
export function decodeReply(text: unknown): ReplyMessage | undefined {
  if (typeof text !== "string") return undefined;
  const message = tryParseJson(text);
  return isReplyMessage(message) ? message : undefined;
}

function isReplyMessage(input: unknown): input is ReplyMessage {
  if (typeof input !== "object" || input === null) return false;
  const message = input as Partial<Record<keyof ReplyMessage, unknown>>;
  return kinds.includes(message.kind) &&
    typeof message.load === "object" && message.load !== null &&
    (message.kind === OfferOutcomeKind.Answered ||
      reasons.includes(message.reason));
}
