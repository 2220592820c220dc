/** The last step of the controller `LimitController.StepBack`. */
export interface LimitStep {
  /** The limit to which a raise is reverted. */
  readonly previousLimit: number;
  /** Whether the last step raised the limit. */
  readonly isRaise: boolean;
  /** No raise before this instant, in milliseconds since the Unix epoch. */
  readonly noRaiseBefore: number;
  /** The number of consecutive raises that were reverted. */
  readonly consecutiveReverts: number;
}
