import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { AdmissionDecisionKind } from "./admission_decision_kind.ts";

/** The single, final answer to an admission request. */
export type AdmissionDecision =
  | { readonly kind: AdmissionDecisionKind.Admitted }
  | {
    readonly kind: AdmissionDecisionKind.Refused;
    readonly reason: RefusalReason;
    /** In milliseconds since the Unix epoch. */
    readonly retryAt: number;
  };
