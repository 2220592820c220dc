/** The lag of the event loop, measured by periodic checks. Mutable. */
export interface LoopLag {
  /** When the last check ran, in milliseconds since the Unix epoch. */
  checkedAt: number;
  /** Instant until which the handled events may have been delayed, in milliseconds since the Unix epoch. */
  behindUntil: number;
}
