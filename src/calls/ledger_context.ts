/** Input of `stepLedger` besides the key's entry and the event. */
export interface LedgerContext {
  /** The current time, in milliseconds since the Unix epoch. */
  readonly now: number;
  /**
   * Since when this ledger has recorded every key that its backend server owns,
   * in milliseconds since the Unix epoch.
   */
  readonly ledgerSince: number;
  /** How long keys are kept, which is also how long a caller may repeat a request. */
  readonly keyLifetimeMilliseconds: number;
  /** The maximum difference between the clocks of two machines. */
  readonly clockSkewMilliseconds: number;
}
