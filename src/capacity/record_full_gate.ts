import { reportMilliseconds } from "./report_milliseconds.ts";
import type { ServiceCapacity } from "./service_capacity.ts";

/** Records that a gate refused a call since it could not start it in time. */
export function recordFullGate(
  capacity: ServiceCapacity,
  options: {
    /** Identifier of the backend server. */
    readonly identifier: string;
    /** The wait for a slot that the gate reported. */
    readonly waitMilliseconds: number;
    /** Priority of the call that was refused; 0 is the highest. */
    readonly priority: number;
    readonly now: number;
  },
): void {
  const { identifier, waitMilliseconds, priority, now } = options;
  // Bounds the reports to the gates that were full lately.
  Array.from(capacity.fullGates)
    .filter(([, { reportedAt }]) => reportedAt + reportMilliseconds < now)
    .forEach(([expired]) => capacity.fullGates.delete(expired));
  capacity.fullGates.set(identifier, {
    reportedAt: now,
    freeAt: now + waitMilliseconds,
    priority,
  });
}
