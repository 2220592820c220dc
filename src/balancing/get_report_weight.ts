import type { GateView } from "./gate_view.ts";

/**
 * Time in which a report loses half of its weight: the calls that it counted end,
 * and others replace them.
 */
const halfLifeMilliseconds = 400;

/** Returns the weight, 0 to 1, of the load that the backend server reported last. */
export function getReportWeight(view: GateView, now: number): number {
  if (view.load === undefined) return 0;
  const ageMilliseconds = Math.max(0, now - view.loadReceivedAt);
  return 0.5 ** (ageMilliseconds / halfLifeMilliseconds);
}
