/** How far the requests of any second may exceed a cold backend server's rate. */
export interface ColdAllowance {
  /** Multiplies the rate. */
  readonly factor: number;
  /** Requests on top of it. */
  readonly slack: number;
}
