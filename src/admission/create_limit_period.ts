import type { LimitPeriod } from "./limit_period.ts";

/** Creates an empty period that begins at the instant `now`. */
export function createLimitPeriod(now: number): LimitPeriod {
  return {
    startedAt: now,
    answered: 0,
    shed: 0,
    whenFull: 0,
    answeredMilliseconds: 0,
  };
}
