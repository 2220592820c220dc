import type { TimerHandle } from "../../runtime/timer_handle.ts";
import type { Timers } from "../../runtime/timers.ts";
import type { WakeTimer } from "./wake_timer.ts";

/**
 * Creates a timer that calls `wake` at the instant that was last set. A timer
 * whose instant moves later is left to run and then set again, so that a call
 * seldom sets more than one.
 */
export function createWakeTimer(timers: Timers, wake: () => void): WakeTimer {
  let instant = Infinity;
  let handle: TimerHandle | undefined;
  let handleInstant = Infinity;

  const set = () => {
    handleInstant = instant;
    handle = timers.at(instant, () => {
      handle = undefined;
      if (handleInstant < instant) {
        if (instant !== Infinity) {
          set();
        }
        return;
      }
      instant = Infinity;
      wake();
    });
  };
  return {
    setInstant: (next) => {
      instant = next;
      if (next === Infinity) {
        handle?.cancel();
        handle = undefined;
      } else if (handle === undefined) {
        set();
      } else if (next < handleInstant) {
        handle.cancel();
        set();
      }
    },
  };
}
