import type { NodeEnvironment } from "../../runtime/node_environment.ts";
import type { VirtualTime } from "../../testing/virtual_time.ts";
import type { AuditEntry } from "../../telemetry/audit_entry.ts";

/** A node environment in virtual time that collects the audit entries. */
export interface TestEnvironment extends NodeEnvironment {
  /** Every recorded audit entry, in order. */
  readonly auditEntries: readonly Omit<AuditEntry, "at" | "vm">[];
  readonly advanceTo: VirtualTime["advanceTo"];
  /** Returns the number of timers that have neither fired nor been cancelled. */
  readonly countTimers: () => number;
}
