/** An instant as two clocks show it, both in milliseconds since the Unix epoch. */
export interface ClockReading {
  /** Steady, but does not count the time for which the VM was suspended. */
  readonly monotonic: number;
  /** Counts a suspension, but may be set forward or back. */
  readonly timeOfDay: number;
}
