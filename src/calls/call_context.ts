/** Input of `stepCall` besides the call's state and the event. */
export interface CallContext {
  /** The current time, in milliseconds since the Unix epoch. */
  readonly now: number;
  /** Whether the retry budget permits another attempt. */
  readonly retryAllowed: boolean;
}
