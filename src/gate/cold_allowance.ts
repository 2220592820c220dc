/**
 * How far the calls sent to a backend server in cold start may exceed its rate
 * in any one second: at most `rate * factor + slack`.
 */
export interface ColdAllowance {
  /** Multiplier of the rate. */
  readonly factor: number;
  /** Calls allowed on top of the multiplied rate. */
  readonly slack: number;
}
