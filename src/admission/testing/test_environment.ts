import type { NodeEnvironment } from "../../runtime/node_environment.ts";
import type { VirtualTime } from "../../testing/virtual_time.ts";
import type { AuditEntry } from "../../telemetry/audit_entry.ts";

/** A node's environment in virtual time that remembers what was recorded. */
export interface TestEnvironment extends NodeEnvironment {
  readonly auditEntries: readonly Omit<AuditEntry, "at" | "vm">[];
  readonly advanceTo: VirtualTime["advanceTo"];
  /** Returns how many timers are set and have neither run nor been cancelled. */
  readonly countTimers: () => number;
}
