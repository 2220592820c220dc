import type { Readable } from "node:stream";
import { RefusalReason } from "../calls/refusal_reason.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import type { ReplyMessage } from "./reply_message.ts";

/** Creates the outcome of an offer from its reply; the answer is read only if there is one. */
export function createReplyOutcome(
  reply: ReplyMessage,
  getAnswer: () => {
    readonly status: number;
    /** Alternating names and values, without hop-by-hop headers. */
    readonly headers: readonly string[];
    readonly body: Readable;
  },
): OfferOutcome {
  const { kind, load } = reply;
  if (kind === OfferOutcomeKind.Answered) {
    return { kind, ...getAnswer(), framed: reply.framed ?? true, load };
  }
  return kind === OfferOutcomeKind.Refused
    ? {
      kind,
      reason: reply.reason ?? RefusalReason.Full,
      retryMilliseconds: reply.retryMilliseconds ?? 0,
      reachedBackendServer: reply.reachedBackendServer ?? false,
      load,
    }
    : {
      kind,
      reason: reply.reason ?? RefusalReason.ContactLost,
      cause: undefined,
      load,
    };
}
