/** Tracks how current the view of a node that follows a feed is. Mutable. */
export interface FeedAge {
  /** The latest instant at which the view is known to have been current, in milliseconds since the Unix epoch. */
  confirmedAt: number;
  /** The smallest observed difference between the time of receipt and the sender's timestamp, in milliseconds. */
  minimumClockOffset: number;
}
