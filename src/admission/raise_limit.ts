import { match } from "ts-pattern";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { evaluateLimitPeriod } from "./evaluate_limit_period.ts";
import { LimitController } from "./limit_controller.ts";

/** Raises the limit of a ready backend server after an answered call, if the controller allows. */
export function raiseLimit(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  return match(outcome.context.policy.limitController)
    .with(LimitController.Fixed, () => state)
    .with(
      LimitController.AdditiveIncrease,
      () => increaseAdditively(state, outcome),
    )
    .with(LimitController.StepBack, () => evaluateLimitPeriod(state, outcome))
    .exhaustive();
}

function increaseAdditively(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { current, changedAt } = state.limit;
  const slots = state.backendServer?.slots ?? 1;
  const isAtLimit = outcome.call.occupiedSlots >= Math.floor(current);
  const isStale = outcome.report.dispatchedAt < changedAt;
  if (!isAtLimit || isStale || current >= slots) return state;
  return {
    ...state,
    limit: { ...state.limit, current: Math.min(slots, current + 1 / current) },
  };
}
