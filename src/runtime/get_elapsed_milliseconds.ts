import type { ClockReading } from "./clock_reading.ts";

/**
 * Returns the milliseconds between two readings, by the clock that says more:
 * the steady one does not count a suspension, the other one may be set back.
 */
export function getElapsedMilliseconds(
  since: ClockReading,
  now: ClockReading,
): number {
  return Math.max(
    0,
    now.monotonic - since.monotonic,
    now.timeOfDay - since.timeOfDay,
  );
}
