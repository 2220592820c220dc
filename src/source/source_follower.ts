/** The running task that follows the source. */
export interface SourceFollower {
  /** Stops reading and closes the connections. */
  stop(): void;
}
