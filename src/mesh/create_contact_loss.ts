import { RefusalReason } from "../calls/refusal_reason.ts";
import type { ContactLossCause } from "../offers/contact_loss_cause.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";

/** Creates the outcome of an offer without a reply; the call may have run. */
export function createContactLoss(cause: ContactLossCause): OfferOutcome {
  return {
    kind: OfferOutcomeKind.Lost,
    reason: RefusalReason.ContactLost,
    cause,
    load: undefined,
  };
}
