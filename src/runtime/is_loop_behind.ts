import type { LoopLag } from "./loop_lag.ts";
import { loopLagToleranceMilliseconds } from "./loop_lag_tolerance_milliseconds.ts";

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
  return now < lag.behindUntil ||
    now - lag.checkedAt >= intervalMilliseconds + loopLagToleranceMilliseconds;
}
