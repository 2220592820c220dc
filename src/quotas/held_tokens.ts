/** Tokens that a node holds and that expire together. Mutable. */
export interface HeldTokens {
  tokens: number;
  /** Lease instant, in milliseconds, from which they may not be used. */
  readonly expiresAt: number;
}
