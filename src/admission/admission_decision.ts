import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { AdmissionDecisionKind } from "./admission_decision_kind.ts";

/** The final decision on an admission request. Each request gets exactly one. */
export type AdmissionDecision =
  | { readonly kind: AdmissionDecisionKind.Admitted }
  | {
    readonly kind: AdmissionDecisionKind.Refused;
    readonly reason: RefusalReason;
    /** The earliest instant for a retry, in milliseconds since the Unix epoch. */
    readonly retryAt: number;
  };
