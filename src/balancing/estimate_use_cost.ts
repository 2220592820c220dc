import { estimateBusySlots } from "./estimate_busy_slots.ts";
import type { GateCandidate } from "./gate_candidate.ts";
import { isFailing } from "./is_failing.ts";

/** Cost of a backend server whose slots are all in use against one without calls. */
const costOfFullUse = 0.5;

/**
 * Estimates the cost of sending a call to a candidate that has more calls than
 * others. It spreads calls evenly also where no wait is expected. A backend server
 * that fails its calls quickly looks idle, so it counts as full.
 */
export function estimateUseCost(
  { entry, view }: GateCandidate,
  now: number,
): number {
  const slots = Math.max(1, view.load?.slots ?? entry.slots);
  const share = estimateBusySlots(view, { slots, now }) / slots;
  return costOfFullUse * (isFailing(view, now) ? Math.max(1, share) : share);
}
