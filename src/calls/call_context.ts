/** What a step of a call takes besides its state and event. */
export interface CallContext {
  /** In milliseconds since the Unix epoch. */
  readonly now: number;
  /** Whether the retry budget has room for one more try. */
  readonly retryAllowed: boolean;
}
