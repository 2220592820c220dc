/** A rate limit that is enforced with tokens; a call uses one. Mutable. */
export interface TokenBucket {
  /** Tokens added a second. */
  tokensPerSecond: number;
  /** The most tokens that accumulate. */
  burstTokens: number;
  /** Tokens left; fractions accumulate over time. */
  tokens: number;
  /** When `tokens` was last refilled, in milliseconds since the Unix epoch. */
  refilledAt: number;
}
