import type { LogRateLimiter } from "./log_rate_limiter.ts";

const linesPerSecond = 60;
const millisecondsPerSecond = 1_000;

/**
 * Creates a limiter. `onDropped` receives the number of lines dropped in one
 * second, together with the first line of a later second.
 */
export function createLogRateLimiter(
  onDropped: (dropped: number) => void,
): LogRateLimiter {
  let second = 0;
  let lines = 0;
  return {
    tryAcquire: (now) => {
      const current = Math.floor(now / millisecondsPerSecond);
      if (current !== second) {
        const dropped = lines - linesPerSecond;
        second = current;
        lines = 0;
        if (dropped > 0) onDropped(dropped);
      }
      lines += 1;
      return lines <= linesPerSecond;
    },
  };
}
