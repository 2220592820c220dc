import type { CapacityOutlook } from "./capacity_outlook.ts";
import type { OpenGate } from "./open_gate.ts";
import { reportMilliseconds } from "./report_milliseconds.ts";
import type { ServiceCapacity } from "./service_capacity.ts";

/**
 * Full gates from which the others of the same availability zones are concluded
 * to be full. Calls are offered to the least loaded gate of a zone first, so the
 * others rarely have more room. Zones are not loaded alike, and each node prefers
 * its own.
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
  const found = gates.flatMap(({ identifier, zone }) => {
    const report = capacity.fullGates.get(identifier);
    return report !== undefined && report.reportedAt + reportMilliseconds > now
      ? [{ report, zone }]
      : [];
  });
  const fullZones = new Set(found.map(({ zone }) => zone));
  const hasOpenZone = gates.some(({ zone }) => !fullZones.has(zone));
  const areAllCold = gates.every(({ coldUntil }) => coldUntil > now);
  const needed = areAllCold ? coldGatesNeeded : fullGatesNeeded;
  const isFull = found.length > 0 && !hasOpenZone &&
    found.length >= Math.min(needed, gates.length);
  if (!isFull) return { isFull, hasOpenZone };
  // A call goes before queued ones of lower priority, so the wait of these says
  // nothing about its own.
  const freeAt = Math.min(
    ...found.map(({ report }) =>
      report.priority > priority ? now : report.freeAt
    ),
  );
  return { isFull, waitMilliseconds: Math.max(0, freeAt - now) };
}
