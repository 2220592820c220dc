import { registeredSlots } from "./registered_slots.ts";
import type { RunContext } from "./run_context.ts";

const pollIntervalMilliseconds = 50;

/** Looks at the limit until `endsAt`, and returns when it first stood at the slots after `from`; infinite where it did not. */
export function watchLimit(
  context: Pick<RunContext, "environment" | "runtime">,
  options: { readonly from: number; readonly endsAt: number },
): () => number {
  const { clock, timers } = context.environment;
  let fullLimitAt = Number.POSITIVE_INFINITY;

  function checkLimit(): void {
    const now = clock.now();
    const isFull = context.runtime.getStatus().limit === registeredSlots.slots;
    if (isFull && now > options.from) fullLimitAt = Math.min(fullLimitAt, now);
    if (now < options.endsAt) scheduleCheck();
  }

  function scheduleCheck(): void {
    timers.at(clock.now() + pollIntervalMilliseconds, checkLimit);
  }

  scheduleCheck();
  return () => fullLimitAt;
}
