/** How one call ended for its caller. */
export enum CallEnding {
  /** The whole right answer came. */
  Whole = "whole",
  /** Refused, with the statement that it did not run. */
  NotRun = "notRun",
  /** Refused, with the statement that it may have run. */
  Unknown = "unknown",
  /** The caller hung up. */
  Abandoned = "abandoned",
  /** An answer came that was not the one asked for. */
  Wrong = "wrong",
  /** The connection ended before a whole answer. */
  Cut = "cut",
  /** No connection could be opened: nothing was sent. */
  Unreachable = "unreachable",
}
