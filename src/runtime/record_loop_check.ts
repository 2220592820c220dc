import type { LoopLag } from "./loop_lag.ts";
import { loopLagToleranceMilliseconds } from "./loop_lag_tolerance_milliseconds.ts";

/**
 * Records a check of the event loop that was due `intervalMilliseconds` after
 * the last one. The events that arrived while the check was late are handled
 * after it, so the loop counts as behind for as long again, and at least until
 * the next check is overdue.
 */
export function recordLoopCheck(
  lag: LoopLag,
  options: { readonly intervalMilliseconds: number; readonly now: number },
): void {
  const { intervalMilliseconds, now } = options;
  const delay = Math.max(0, now - lag.checkedAt - intervalMilliseconds);
  lag.checkedAt = now;
  if (delay <= loopLagToleranceMilliseconds) return;
  lag.behindUntil = Math.max(
    lag.behindUntil,
    now + delay,
    now + intervalMilliseconds + loopLagToleranceMilliseconds,
  );
}
