import type { CapacityOutlook } from "./capacity_outlook.ts";
import type { OpenGate } from "./open_gate.ts";
import { reportMilliseconds } from "./report_milliseconds.ts";
import type { ServiceCapacity } from "./service_capacity.ts";

/**
 * Full gates from which the others are concluded to be full. Calls are offered
 * to the least loaded gate first, so the others rarely have more room.
 */
const fullGatesNeeded = 3;
/** In cold start all gates admit calls at the same rate. */
const coldGatesNeeded = 2;

/**
 * Returns whether a service has no free slot, as far as the calls of this node
 * found out lately.
 */
export function getCapacityOutlook(
  capacity: ServiceCapacity,
  options: {
    readonly gates: readonly OpenGate[];
    /** Priority of the call that needs a slot; 0 is the highest. */
    readonly priority: number;
    readonly now: number;
  },
): CapacityOutlook {
  const { gates, priority, now } = options;
  const reports = gates.flatMap(({ identifier }) => {
    const report = capacity.fullGates.get(identifier);
    return report !== undefined && report.reportedAt + reportMilliseconds > now
      ? [report]
      : [];
  });
  const areAllCold = gates.every(({ coldUntil }) => coldUntil > now);
  const needed = areAllCold ? coldGatesNeeded : fullGatesNeeded;
  if (reports.length === 0 || reports.length < Math.min(needed, gates.length)) {
    return { isFull: false };
  }
  // A call goes before queued ones of lower priority, so the wait of these says
  // nothing about its own.
  const freeAt = Math.min(
    ...reports.map((report) =>
      report.priority > priority ? now : report.freeAt
    ),
  );
  return { isFull: true, waitMilliseconds: Math.max(0, freeAt - now) };
}
