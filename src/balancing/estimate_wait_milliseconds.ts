import { estimateBusySlots } from "./estimate_busy_slots.ts";
import type { GateView } from "./gate_view.ts";
import { getReportWeight } from "./get_report_weight.ts";

/** Spread of the number of calls, in slots, even if the report is new. */
const spreadOfNewReport = 0.3;
/** Spread if nothing was reported, as a share of the root of the number of slots. */
const spreadShare = 0.5;

/**
 * Estimates how long a call would wait for a slot. If the report is old, the
 * number of calls may be above or below the estimate. A wait may occur then also
 * where a slot is expected to be free, so a free slot that is known comes first.
 */
export function estimateWaitMilliseconds(
  view: GateView,
  options: {
    readonly slots: number;
    /** Expected time for which a call keeps its slot. */
    readonly answerMilliseconds: number;
    readonly now: number;
  },
): number {
  const { slots, answerMilliseconds, now } = options;
  const excess = estimateBusySlots(view, { slots, now }) + 1 - slots;
  const spread = spreadOfNewReport +
    (1 - getReportWeight(view, now)) * Math.sqrt(slots) * spreadShare;
  // A smooth maximum of 0 and the excess.
  const expectedExcess = Math.max(0, excess) +
    spread * Math.log1p(Math.exp(-Math.abs(excess) / spread));
  return expectedExcess * answerMilliseconds / slots;
}
