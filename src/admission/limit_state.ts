import type { LimitStep } from "./limit_step.ts";
import type { LimitPeriod } from "./limit_period.ts";

/** Where the limit on concurrent calls stands. All instants in milliseconds since the Unix epoch. */
export interface LimitState {
  /** How many calls may run at once; the whole part counts. */
  readonly current: number;
  /** Calls dispatched before this instant say nothing of the present limit. */
  readonly changedAt: number;
  /** Calls answered at the present limit, of those dispatched since it changed. */
  readonly answered: number;
  /** Those among `answered` that were admitted to the last slot under the limit. */
  readonly answeredAtLimit: number;
  /** The limit at which the ramp was last shed; 0 where it was not. */
  readonly shedLimit: number;
  /** How many steps of the ramp in a row were shed at the ceiling. */
  readonly consecutiveSheds: number;
  readonly period: LimitPeriod;
  readonly lastStep: LimitStep;
}
