import type { ContactLossCause } from "./contact_loss_cause.ts";
import type { OfferDecisionKind } from "./offer_decision_kind.ts";

/** What becomes of an unconfirmed offer after a check. */
export type OfferDecision =
  | { readonly kind: OfferDecisionKind.Keep }
  | { readonly kind: OfferDecisionKind.CheckAgain }
  | {
    readonly kind: OfferDecisionKind.GiveUp;
    readonly cause: ContactLossCause;
  };
