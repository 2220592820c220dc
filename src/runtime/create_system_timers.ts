import type { Clock } from "./clock.ts";
import { scheduleAfterInput } from "./schedule_after_input.ts";
import type { Timers } from "./timers.ts";

/** The longest delay that `setTimeout` accepts, in milliseconds. */
const timeoutMillisecondsMaximum = 2_147_483_647;

/**
 * Creates timers on the event loop of this process. Input that has arrived when
 * a timer is due is read before it fires.
 */
export function createSystemTimers(clock: Clock): Timers {
  return {
    at: (instant, callback) => {
      const delay = Math.max(0, Math.ceil(instant - clock.now()));
      return scheduleAfterInput(
        Math.min(delay, timeoutMillisecondsMaximum),
        callback,
      );
    },
  };
}
