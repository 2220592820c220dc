/** The idempotency key of a call, with what the caller states of its attempts. */
export interface CallKey {
  readonly value: string;
  /** The caller's number of this attempt, from 1; undefined if the caller did not state it. */
  readonly callerAttempt: number | undefined;
  /**
   * The caller made no attempt before this instant (milliseconds since the Unix
   * epoch); undefined if the caller did not state it.
   */
  readonly firstAttemptAt: number | undefined;
}
