import type { LimitPeriod } from "./limit_period.ts";

/** An evaluation period without answered calls. */
export const emptyLimitPeriod: LimitPeriod = {
  answered: 0,
  answeredAtLimit: 0,
};
