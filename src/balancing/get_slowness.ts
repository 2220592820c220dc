import type { GateView } from "./gate_view.ts";

/**
 * Time in which half of the excess over 1 is forgotten. A backend server that is
 * avoided as slow gets few calls that could show its recovery.
 */
const halfLifeMilliseconds = 2_000;

/**
 * Returns how many times the mean of the service a call of the backend server is
 * expected to take. Without answers it returns to 1.
 */
export function getSlowness(view: GateView, now: number): number {
  const ageMilliseconds = Math.max(0, now - view.slownessAt);
  return 1 +
    (view.slowness - 1) * 0.5 ** (ageMilliseconds / halfLifeMilliseconds);
}
