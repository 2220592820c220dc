/** The calls that were answered in an evaluation period of `LimitController.StepBack`. */
export interface LimitPeriod {
  /** The number of answered calls. */
  readonly answered: number;
  /** The number of them that occupied the last slot within the limit when they were admitted. */
  readonly answeredAtLimit: number;
}
