/** A request for tokens of one organisation. */
export interface TokenRequest {
  /** Calls that wait for a token. */
  readonly waitingCalls: number;
  /** Tokens for the calls that are expected soon. */
  readonly expectedCalls: number;
}
