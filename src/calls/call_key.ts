/** The idempotency key of a call, with what is known of its first attempt. */
export interface CallKey {
  readonly value: string;
  /** 1 for the caller's first attempt; undefined where the caller did not say. */
  readonly callerAttempt: number | undefined;
  /**
   * No attempt was made before this instant (milliseconds since the Unix
   * epoch); undefined where the caller did not say.
   */
  readonly firstAttemptAt: number | undefined;
}
