import type { TimerHandle } from "./timer_handle.ts";

/** Runs callbacks at absolute instants. */
export interface Timers {
  /** Runs `callback` once, at `instant` (milliseconds since the Unix epoch) or soon after. */
  at(instant: number, callback: () => void): TimerHandle;
}
