import type { NodeEnvironment } from "../../runtime/node_environment.ts";

/**
 * The environment of a node in loopback tests: real time, less what `getLag`
 * returns (in milliseconds), a fixed random sequence, and no log.
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
        drawCount += 1;
        return (drawCount * 0.618033988749895) % 1;
      },
    },
    auditTrail: { record: ignore },
    log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
  };
}
