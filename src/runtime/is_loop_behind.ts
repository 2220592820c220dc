import type { LoopLag } from "./loop_lag.ts";

/** Tolerated lag; well above timer jitter, and below the time within which the disconnection of a caller must be detected. */
const lagToleranceMilliseconds = 60;

/**
 * Whether the events that the event loop handles now may have been delayed
 * beyond the tolerated lag. `intervalMilliseconds` is the interval of the
 * checks.
 */
export function isLoopBehind(
  lag: LoopLag,
  options: { readonly intervalMilliseconds: number; readonly now: number },
): boolean {
  const { intervalMilliseconds, now } = options;
  return now < lag.behindUntil - lagToleranceMilliseconds ||
    now - lag.checkedAt > intervalMilliseconds + lagToleranceMilliseconds;
}
