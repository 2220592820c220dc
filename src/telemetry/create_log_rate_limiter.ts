import type { LogRateLimiter } from "./log_rate_limiter.ts";

const linesPerSecond = 60;
const millisecondsPerSecond = 1_000;

/**
 * Creates a limiter. `onDropped` receives the number of lines dropped in one
 * second, together with the first line of a later second or when asked to
 * report.
 */
export function createLogRateLimiter(
  onDropped: (dropped: number) => void,
): LogRateLimiter {
  let second = 0;
  let lines = 0;

  function reportDropped(now: number): void {
    const current = Math.floor(now / millisecondsPerSecond);
    if (current === second) return;
    const dropped = lines - linesPerSecond;
    second = current;
    lines = 0;
    if (dropped > 0) onDropped(dropped);
  }

  return {
    tryAcquire: (now) => {
      reportDropped(now);
      lines += 1;
      return lines <= linesPerSecond;
    },
    reportDropped,
  };
}
