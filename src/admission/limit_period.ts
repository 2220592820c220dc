/** The calls answered in one period, for a controller that judges its own steps. */
export interface LimitPeriod {
  readonly answered: number;
  /** Calls that were admitted to the last slot under the limit. */
  readonly answeredAtLimit: number;
}
