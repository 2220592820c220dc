import { match } from "ts-pattern";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { judgeRaise } from "./judge_raise.ts";
import { LimitController } from "./limit_controller.ts";

/** Follows an answered call of a backend server that is ready. */
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
    .with(LimitController.StepBack, () => judgeRaise(state, outcome))
    .exhaustive();
}

function increaseAdditively(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { current, changedAt } = state.limit;
  const slots = state.backendServer?.slots ?? 1;
  const isFull = outcome.call.occupiedSlots >= Math.floor(current);
  const isOld = outcome.report.dispatchedAt < changedAt;
  if (!isFull || isOld || current >= slots) return state;
  return {
    ...state,
    limit: { ...state.limit, current: Math.min(slots, current + 1 / current) },
  };
}
