import type { AdmissionContext } from "./admission_context.ts";
import { emptyLimitPeriod } from "./empty_limit_period.ts";
import type { LimitState } from "./limit_state.ts";

/** How often the wait after a raise that was taken back is doubled at most. */
const maximumDoublings = 2;

/** Takes back the last raise and puts off the next one, longer each time in a row. */
export function holdLimit(
  limit: LimitState,
  context: AdmissionContext,
): LimitState {
  const { judgement } = limit;
  const doublings = Math.min(maximumDoublings, judgement.takenBack);
  return {
    ...limit,
    current: judgement.limitBefore,
    changedAt: context.now,
    period: emptyLimitPeriod,
    judgement: {
      ...judgement,
      raised: false,
      takenBack: judgement.takenBack + 1,
      holdUntil: context.now +
        context.policy.rampStepMilliseconds * 2 ** doublings,
    },
  };
}
