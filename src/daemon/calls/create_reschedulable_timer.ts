import type { TimerHandle } from "../../runtime/timer_handle.ts";
import type { Timers } from "../../runtime/timers.ts";
import type { ReschedulableTimer } from "./reschedulable_timer.ts";

/**
 * Creates a timer that calls `onFire` at the instant that was last set. If the
 * instant moves later, the scheduled timer is kept and rescheduled when it fires,
 * so that a call rarely schedules more than one timer.
 */
export function createReschedulableTimer(
  timers: Timers,
  onFire: () => void,
): ReschedulableTimer {
  let instant = Infinity;
  let handle: TimerHandle | undefined;
  let scheduledInstant = Infinity;

  const schedule = () => {
    scheduledInstant = instant;
    handle = timers.at(instant, () => {
      handle = undefined;
      if (scheduledInstant < instant) {
        if (instant !== Infinity) {
          schedule();
        }
        return;
      }
      instant = Infinity;
      onFire();
    });
  };
  return {
    setInstant: (newInstant) => {
      instant = newInstant;
      if (newInstant === Infinity) {
        handle?.cancel();
        handle = undefined;
      } else if (handle === undefined) {
        schedule();
      } else if (newInstant < scheduledInstant) {
        handle.cancel();
        schedule();
      }
    },
  };
}
