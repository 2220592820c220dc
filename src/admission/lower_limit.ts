import { match } from "ts-pattern";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { stepBackLimit } from "./step_back_limit.ts";
import { LimitController } from "./limit_controller.ts";

/** Lowers the limit of a ready backend server after a call that indicates overload. */
export function lowerLimit(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  return match(outcome.context.policy.limitController)
    .with(LimitController.Fixed, () => state)
    .with(
      LimitController.AdditiveIncrease,
      () => decreaseByFactor(state, outcome),
    )
    .with(LimitController.StepBack, () => stepBackLimit(state, outcome))
    .exhaustive();
}

/**
 * Multiplies the limit by the decrease factor, once for all calls that were
 * dispatched since it last changed.
 */
function decreaseByFactor(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { context, report } = outcome;
  const { limit } = state;
  if (report.dispatchedAt < limit.changedAt) return state;
  return {
    ...state,
    limit: {
      ...limit,
      current: Math.max(1, limit.current * context.policy.decreaseFactor),
      changedAt: context.now,
    },
  };
}
