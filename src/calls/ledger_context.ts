/** What a step of a ledger takes besides the key's entry and the event. */
export interface LedgerContext {
  /** In milliseconds since the Unix epoch. */
  readonly now: number;
  /** When this ledger began to see every key that its backend server owns, in milliseconds since the Unix epoch. */
  readonly ledgerSince: number;
  /** How long keys are kept, and how long a caller may repeat one. */
  readonly keyLifetimeMilliseconds: number;
  /** The largest difference between two clocks. */
  readonly clockSkewMilliseconds: number;
}
