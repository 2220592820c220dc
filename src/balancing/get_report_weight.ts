import type { GateView } from "./gate_view.ts";

/** Calls that ran at the time of the report end and others replace them; a queue lasts longer than one of them. */
const halfLifeMilliseconds = 400;

/** Returns the weight, 0 to 1, of the load that the backend server reported last. */
export function getReportWeight(view: GateView, now: number): number {
  if (view.load === undefined) return 0;
  const age = Math.max(0, now - view.loadReceivedAt);
  return 0.5 ** (age / halfLifeMilliseconds);
}
