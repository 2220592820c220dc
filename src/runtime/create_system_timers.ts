import type { Clock } from "./clock.ts";
import type { Timers } from "./timers.ts";

/** The longest delay that `setTimeout` accepts, in milliseconds. */
const timeoutMillisecondsMaximum = 2_147_483_647;

/** Creates timers on the event loop of this process. */
export function createSystemTimers(clock: Clock): Timers {
  return {
    at: (instant, callback) => {
      const delay = Math.max(0, Math.ceil(instant - clock.now()));
      const timeout = setTimeout(
        callback,
        Math.min(delay, timeoutMillisecondsMaximum),
      );
      return { cancel: () => clearTimeout(timeout) };
    },
  };
}
