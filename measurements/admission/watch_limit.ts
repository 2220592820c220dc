import { registeredCapacity } from "./registered_capacity.ts";
import type { RunContext } from "./run_context.ts";

const pollIntervalMilliseconds = 50;

/**
 * Polls the concurrency limit until `endsAt`. The returned function returns the
 * first instant after `from` at which the limit was equal to the registered
 * slots, or infinity if there was none.
 */
export function watchLimit(
  context: Pick<RunContext, "environment" | "runtime">,
  options: { readonly from: number; readonly endsAt: number },
): () => number {
  const { clock, timers } = context.environment;
  let fullLimitAt = Number.POSITIVE_INFINITY;

  function checkLimit(): void {
    const now = clock.now();
    const isFull =
      context.runtime.getStatus().limit === registeredCapacity.slots;
    if (isFull && now > options.from) fullLimitAt = Math.min(fullLimitAt, now);
    if (now < options.endsAt) scheduleCheck();
  }

  function scheduleCheck(): void {
    timers.at(clock.now() + pollIntervalMilliseconds, checkLimit);
  }

  scheduleCheck();
  return () => fullLimitAt;
}
