import type { RefusalReason } from "../calls/refusal_reason.ts";
import { AdmissionDecisionKind } from "./admission_decision_kind.ts";
import type { AdmissionContext } from "./admission_context.ts";
import { AdmissionEffectKind } from "./admission_effect_kind.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { AdmissionStep } from "./admission_step.ts";
import { scheduleRetry } from "./schedule_retry.ts";

/** Refuses calls that have been removed from the state. Each refusal has its own retry instant. */
export function refuseCalls(
  state: AdmissionState,
  callIdentifiers: readonly string[],
  options: {
    readonly reason: RefusalReason;
    readonly context: AdmissionContext;
  },
): AdmissionStep {
  return callIdentifiers.reduce<AdmissionStep>((step, callIdentifier) => {
    const retry = scheduleRetry(step.state, options.reason, options.context);
    return {
      state: retry.state,
      effects: [...step.effects, {
        kind: AdmissionEffectKind.Decide,
        callIdentifier,
        decision: {
          kind: AdmissionDecisionKind.Refused,
          reason: options.reason,
          retryAt: retry.retryAt,
        },
      }],
    };
  }, { state, effects: [] });
}
