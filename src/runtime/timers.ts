import type { TimerHandle } from "./timer_handle.ts";

/** Schedules callbacks at absolute instants. */
export interface Timers {
  /** Schedules one run of `callback` at `instant` (milliseconds since the Unix epoch) or soon after. */
  at(instant: number, callback: () => void): TimerHandle;
}
