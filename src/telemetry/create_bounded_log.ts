import pino, { type LoggerOptions } from "pino";
import type { BoundedLog } from "./bounded_log.ts";
import { createLogDestination } from "./create_log_destination.ts";
import { createLogRateLimiter } from "./create_log_rate_limiter.ts";

/**
 * Creates a log of JSON lines on standard output. Lines dropped by the rate
 * limit or the buffer are counted in a line of their own.
 */
export function createBoundedLog(options: LoggerOptions): BoundedLog {
  const limiter = createLogRateLimiter((dropped) =>
    destination.countDropped(dropped)
  );
  const destination = createLogDestination({
    onDropped: (dropped) => logger.warn({ dropped }, "Log lines were dropped"),
    onFlush: limiter.reportDropped,
  });
  const logger = pino(options, destination);

  // Not the time of day, which may step.
  return {
    logger,
    tryAcquireLine: () => limiter.tryAcquire(performance.now()),
  };
}
