import type { Clock } from "../runtime/clock.ts";
import type { Timers } from "../runtime/timers.ts";

/** A clock and timers that advance only on request, so that a test determines the order of events. */
export interface VirtualTime {
  readonly clock: Clock;
  readonly timers: Timers;
  /**
   * Moves the clock to `instant` (milliseconds since the Unix epoch) and runs
   * every timer that falls due by then, earliest first; timers of the same
   * instant run in the order in which they were set. Promises settle before
   * each timer and after the last.
   */
  advanceTo(instant: number): Promise<void>;
}
