import type { LoopLag } from "./loop_lag.ts";

/** Well above the scatter of timers, and below the time in which a caller that left must be noticed. */
const lateMilliseconds = 200;

/** Whether what the event loop handles now may have waited for long. */
export function isLoopBehind(
  lag: LoopLag,
  options: { readonly spanMilliseconds: number; readonly now: number },
): boolean {
  const { spanMilliseconds, now } = options;
  return now < lag.behindUntil - lateMilliseconds ||
    now - lag.lookedAt > spanMilliseconds + lateMilliseconds;
}
