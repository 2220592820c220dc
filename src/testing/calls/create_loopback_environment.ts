import type { NodeEnvironment } from "../../runtime/node_environment.ts";

/**
 * The environment of a node in loopback tests: real time, less what `getLag`
 * returns (in milliseconds), a fixed random sequence, and no log.
 */
export function createLoopbackEnvironment(
  getLag: () => number,
): NodeEnvironment {
  let drawn = 0;
  const ignore = () => undefined;
  return {
    clock: { now: () => Date.now() - getLag() },
    timers: {
      at: (instant, callback) => {
        const timeout = setTimeout(
          callback,
          Math.max(0, instant - Date.now() + getLag()),
        );
        return { cancel: () => clearTimeout(timeout) };
      },
    },
    random: {
      next: () => {
        drawn += 1;
        return (drawn * 0.618033988749895) % 1;
      },
    },
    auditTrail: { record: ignore },
    log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
  };
}
