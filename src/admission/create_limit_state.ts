import { emptyLimitPeriod } from "./empty_limit_period.ts";
import type { LimitState } from "./limit_state.ts";

/** Creates a limit of `current` calls that begins at the instant `now`. */
export function createLimitState(current: number, now: number): LimitState {
  return {
    current,
    changedAt: now,
    answered: 0,
    answeredWhenFull: 0,
    ceiling: 0,
    shedSteps: 0,
    period: emptyLimitPeriod,
    judgement: {
      limitBefore: current,
      raised: false,
      holdUntil: 0,
      takenBack: 0,
    },
  };
}
