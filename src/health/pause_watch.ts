/** Watches for times in which the process did not run. */
export interface PauseWatch {
  start(): void;
  /**
   * Looks at the clock now. A process that resumes reads its sockets before its
   * timers run, so this is to be called before a call is taken.
   */
  check(): void;
  stop(): void;
}
