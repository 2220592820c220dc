/** What the calls of one period showed, for a controller that judges its own steps. */
export interface LimitPeriod {
  /** In milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly answered: number;
  readonly shed: number;
  /** Calls that were admitted to the last slot under the limit. */
  readonly whenFull: number;
  /** The time that the answered calls took together, in milliseconds. */
  readonly answeredMilliseconds: number;
}
