import { createLimitPeriod } from "./create_limit_period.ts";
import type { LimitState } from "./limit_state.ts";

/** Creates a limit of `current` calls that begins at the instant `now`. */
export function createLimitState(current: number, now: number): LimitState {
  return {
    current,
    changedAt: now,
    answered: 0,
    answeredWhenFull: 0,
    shedInARow: 0,
    ceiling: 0,
    shedSteps: 0,
    period: createLimitPeriod(now),
    judgement: {
      limitBefore: current,
      raised: false,
      latencyMilliseconds: 0,
      shedRate: 0,
      holdPeriods: 0,
      takenBack: 0,
    },
  };
}
