/** Detects periods in which the process did not run. */
export interface PauseWatch {
  /** Starts the periodic checks. Has no effect if they are running. */
  start(): void;
  /**
   * Checks the clock immediately. After a pause the process reads its sockets
   * before its timers run, so this must be called before a call is accepted.
   */
  check(): void;
  /** Stops the periodic checks. */
  stop(): void;
}
