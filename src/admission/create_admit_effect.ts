import { AdmissionDecisionKind } from "./admission_decision_kind.ts";
import type { AdmissionEffect } from "./admission_effect.ts";
import { AdmissionEffectKind } from "./admission_effect_kind.ts";

/** Creates the effect that reports a call as admitted. */
export function createAdmitEffect(callIdentifier: string): AdmissionEffect {
  return {
    kind: AdmissionEffectKind.Decide,
    callIdentifier,
    decision: { kind: AdmissionDecisionKind.Admitted },
  };
}
