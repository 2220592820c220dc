import type { NodeEnvironment } from "../../runtime/node_environment.ts";

/**
 * Creates the environment of a node in loopback tests: a clock that lags real
 * time by what `getClockLag` returns (in milliseconds), a fixed sequence of
 * random numbers, and neither audit trail nor log.
 */
export function createLoopbackEnvironment(
  getClockLag: () => number,
): NodeEnvironment {
  let drawCount = 0;
  const ignore = () => undefined;
  return {
    clock: { now: () => Date.now() - getClockLag() },
    timers: {
      at: (instant, callback) => {
        const timeout = setTimeout(
          callback,
          Math.max(0, instant - Date.now() + getClockLag()),
        );
        return { cancel: () => clearTimeout(timeout) };
      },
    },
    random: {
      next: () => {
        // Multiples of the golden ratio, modulo 1, spread evenly over [0, 1).
        drawCount += 1;
        return (drawCount * 0.618033988749895) % 1;
      },
    },
    auditTrail: { record: ignore },
    log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
  };
}
