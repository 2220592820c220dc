import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { SlotDecisionKind } from "./slot_decision_kind.ts";

/** The admission's answer to a call. */
export type SlotDecision =
  | { readonly kind: SlotDecisionKind.Granted }
  | { readonly kind: SlotDecisionKind.Queued }
  | {
    readonly kind: SlotDecisionKind.Refused;
    readonly reason: RefusalReason;
    /** How long the next attempt should wait. */
    readonly retryMilliseconds: number;
  };
