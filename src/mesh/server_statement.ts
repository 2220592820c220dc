/** What a backend server states about itself in an answer. */
export interface ServerStatement {
  /**
   * The most calls a second that it takes from all nodes together; undefined if
   * it states no limit.
   */
  readonly callsPerSecondLimit: number | undefined;
  /** Whether it is about to leave. */
  readonly leaving: boolean;
}
