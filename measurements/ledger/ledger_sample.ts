/** Memory and time that a ledger with many finished keys needs. */
export interface LedgerSample {
  readonly keys: number;
  /** Heap and array buffers that the ledger retains. */
  readonly bytes: number;
  /** Time to process the events of one key, from request to outcome. */
  readonly millisecondsPerKey: number;
}
