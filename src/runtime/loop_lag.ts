/** How far the event loop is behind. Changed in place. */
export interface LoopLag {
  /** When the loop was last looked at, in milliseconds since the Unix epoch. */
  lookedAt: number;
  /** Until when what the loop handles may have waited for long, in milliseconds since the Unix epoch. */
  behindUntil: number;
}
