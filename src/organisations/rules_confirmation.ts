import type { ClockReading } from "../runtime/clock_reading.ts";

/** Tracks since when the rules in force at a node may be out of date. Mutable. */
export interface RulesConfirmation {
  /** Start of the last read of the source. */
  readStartedAt: ClockReading | undefined;
  /** Latest instant at which the rules were certainly current; undefined before the first. */
  confirmedAt: ClockReading | undefined;
  /**
   * Instant before which no read confirms the rules, in milliseconds since the
   * Unix epoch: the source has come back from an older copy.
   */
  heldUntil: number;
  /** Whether the last reported state is that calls with keys are refused. */
  isStaleReported: boolean;
}
