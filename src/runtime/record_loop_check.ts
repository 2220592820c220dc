import type { LoopLag } from "./loop_lag.ts";

/**
 * Records a check of the event loop that was due `intervalMilliseconds` after
 * the last one. The events that arrived while the check was late are handled
 * after it, so the loop counts as behind for as long again.
 */
export function recordLoopCheck(
  lag: LoopLag,
  options: { readonly intervalMilliseconds: number; readonly now: number },
): void {
  const { intervalMilliseconds, now } = options;
  const delay = Math.max(0, now - lag.checkedAt - intervalMilliseconds);
  lag.behindUntil = Math.max(lag.behindUntil, now + delay);
  lag.checkedAt = now;
}
