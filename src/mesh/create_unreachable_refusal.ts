import { RefusalReason } from "../calls/refusal_reason.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";

const unreachableRetryMilliseconds = 300;

/** Creates the outcome of an offer that was not sent; the call has not run. */
export function createUnreachableRefusal(): OfferOutcome {
  return {
    kind: OfferOutcomeKind.Refused,
    reason: RefusalReason.ContactLost,
    retryMilliseconds: unreachableRetryMilliseconds,
    reachedBackendServer: false,
    load: undefined,
  };
}
