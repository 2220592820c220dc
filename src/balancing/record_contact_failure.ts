import type { GateView } from "./gate_view.ts";

const firstAvoidMilliseconds = 500;
const avoidMillisecondsMaximum = 4_000;

/**
 * Avoids a node that could not be reached, with a backoff that doubles with each
 * consecutive failure. Until the longest backoff has passed, nodes that were
 * reached come first; after it, a call shows whether it can be reached again.
 */
export function recordContactFailure(view: GateView, now: number): void {
  const delay = Math.min(
    avoidMillisecondsMaximum,
    firstAvoidMilliseconds * 2 ** view.contactFailures,
  );
  view.contactFailures += 1;
  view.avoidUntil = Math.max(view.avoidUntil, now + delay);
  view.unreachedUntil = now + avoidMillisecondsMaximum;
}
