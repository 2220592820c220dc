import type { AdmissionContext } from "./admission_context.ts";
import { emptyLimitPeriod } from "./empty_limit_period.ts";
import type { LimitState } from "./limit_state.ts";

/** How often the wait after a raise that was taken back is doubled at most. */
const maximumDoublings = 2;

/** Takes back the last raise and puts off the next one, longer each time in a row. */
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
