import type { Clock } from "../runtime/clock.ts";
import type { Timers } from "../runtime/timers.ts";

/** A clock and timers that move only when told to, so that a test decides the order of events. */
export interface VirtualTime {
  readonly clock: Clock;
  readonly timers: Timers;
  /**
   * Moves the clock to `instant` (milliseconds since the Unix epoch) and runs
   * every timer that falls due on the way, earliest first and in the order of
   * setting where instants are equal. Promises settle before each timer and
   * after the last.
   */
  advanceTo(instant: number): Promise<void>;
}
