import type { AdmissionContext } from "./admission_context.ts";
import { emptyLimitPeriod } from "./empty_limit_period.ts";
import type { LimitState } from "./limit_state.ts";

/** The maximum number of doublings of the delay after a reverted raise. */
const maximumDoublings = 2;

/** Reverts the last raise and delays the next one. Each consecutive revert doubles the delay. */
export function revertRaise(
  limit: LimitState,
  context: AdmissionContext,
): LimitState {
  const { lastStep } = limit;
  const doublings = Math.min(maximumDoublings, lastStep.consecutiveReverts);
  return {
    ...limit,
    current: lastStep.previousLimit,
    changedAt: context.now,
    period: emptyLimitPeriod,
    lastStep: {
      ...lastStep,
      isRaise: false,
      consecutiveReverts: lastStep.consecutiveReverts + 1,
      noRaiseBefore: context.now +
        context.policy.rampStepMilliseconds * 2 ** doublings,
    },
  };
}
