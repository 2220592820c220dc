/** What a ledger with many finished keys needs. */
export interface LedgerSample {
  readonly keys: number;
  /** Heap and buffers, in bytes. */
  readonly bytes: number;
  /** Time of the decisions for one key, from request to end, in milliseconds. */
  readonly millisecondsPerKey: number;
}
