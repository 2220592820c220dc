import type { LimitStep } from "./limit_step.ts";
import type { LimitPeriod } from "./limit_period.ts";

/** The state of the concurrency limit. All instants are in milliseconds since the Unix epoch. */
export interface LimitState {
  /** The maximum number of concurrent calls. Only the integer part is applied. */
  readonly current: number;
  /** When the limit last changed. Calls dispatched before this instant do not affect it. */
  readonly changedAt: number;
  /**
   * The number of answered calls among those dispatched since the limit
   * changed. Counted in cold start only.
   */
  readonly answered: number;
  /** The number of them that occupied the last slot within the limit when they were admitted. */
  readonly answeredAtLimit: number;
  /** The limit at which overload last occurred on the cold-start ramp; 0 if it did not. */
  readonly shedLimit: number;
  /** The number of consecutive times that overload occurred at `shedLimit`. */
  readonly consecutiveSheds: number;
  readonly period: LimitPeriod;
  readonly lastStep: LimitStep;
}
