import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { SlotDecisionKind } from "./slot_decision_kind.ts";

/** The decision of a gate on a call. */
export type SlotDecision =
  | { readonly kind: SlotDecisionKind.Granted }
  | { readonly kind: SlotDecisionKind.Queued }
  | {
    readonly kind: SlotDecisionKind.Refused;
    readonly reason: RefusalReason;
    /** How long the caller should wait before the next attempt. */
    readonly retryMilliseconds: number;
  };
