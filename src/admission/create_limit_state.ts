import { emptyLimitPeriod } from "./empty_limit_period.ts";
import type { LimitState } from "./limit_state.ts";

/**
 * Creates a limit of `current` concurrent calls that applies from the instant
 * `now`, in milliseconds since the Unix epoch.
 */
export function createLimitState(current: number, now: number): LimitState {
  return {
    current,
    changedAt: now,
    answered: 0,
    answeredAtLimit: 0,
    shedLimit: 0,
    consecutiveSheds: 0,
    period: emptyLimitPeriod,
    lastStep: {
      previousLimit: current,
      isRaise: false,
      noRaiseBefore: 0,
      consecutiveReverts: 0,
    },
  };
}
