import { registered } from "./registered.ts";
import type { RunParts } from "./run_parts.ts";

const intervalMilliseconds = 50;

/** Looks at the limit until `endsAt`, and returns when it first stood at the slots after `from`; infinite where it did not. */
export function watchLimit(
  parts: Pick<RunParts, "environment" | "runtime">,
  options: { readonly from: number; readonly endsAt: number },
): () => number {
  const { clock, timers } = parts.environment;
  let fullAt = Number.POSITIVE_INFINITY;

  function look(): void {
    const now = clock.now();
    const isFull = parts.runtime.getStatus().limit === registered.slots;
    if (isFull && now > options.from) fullAt = Math.min(fullAt, now);
    if (now < options.endsAt) setTimer();
  }

  function setTimer(): void {
    timers.at(clock.now() + intervalMilliseconds, look);
  }

  setTimer();
  return () => fullAt;
}
