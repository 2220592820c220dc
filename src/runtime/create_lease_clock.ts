import type { Clock } from "./clock.ts";

/** The two clocks advance by slightly different amounts between two readings. */
const toleranceMilliseconds = 20;

/**
 * Creates a clock for what must have ended after a time: it advances by the
 * larger of what the steady clock and the time of day advance. A steady clock
 * may stand still while the VM is suspended, and the time of day may be set back.
 */
export function createLeaseClock(
  options: { readonly steady: Clock; readonly timeOfDay: Clock },
): Clock {
  const { steady, timeOfDay } = options;
  let reference = timeOfDay.now() - steady.now();
  let addedMilliseconds = 0;
  return {
    now: () => {
      const steadyNow = steady.now();
      const advance = timeOfDay.now() - steadyNow - reference;
      if (Math.abs(advance) > toleranceMilliseconds) {
        addedMilliseconds += Math.max(0, advance);
        reference += advance;
      }
      return steadyNow + addedMilliseconds;
    },
  };
}
