import type { Readable } from "node:stream";
import { match } from "ts-pattern";
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
  const { load } = reply;
  return match(reply.kind)
    .returnType<OfferOutcome>()
    .with(OfferOutcomeKind.Answered, (kind) => ({
      kind,
      ...getAnswer(),
      framed: reply.framed ?? true,
      load,
    }))
    .with(OfferOutcomeKind.Refused, (kind) => ({
      kind,
      reason: reply.reason ?? RefusalReason.Full,
      retryMilliseconds: reply.retryMilliseconds ?? 0,
      reachedBackendServer: reply.reachedBackendServer ?? false,
      load,
    }))
    .with(OfferOutcomeKind.Lost, (kind) => ({
      kind,
      reason: reply.reason ?? RefusalReason.ContactLost,
      cause: undefined,
      load,
    }))
    .exhaustive();
}
