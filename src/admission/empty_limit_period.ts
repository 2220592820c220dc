import type { LimitPeriod } from "./limit_period.ts";

/** A period in which no call was answered yet. */
export const emptyLimitPeriod: LimitPeriod = {
  answered: 0,
  answeredAtLimit: 0,
};
