import type { AuditEntry } from "./audit_entry.ts";

/** Records the changes that a node makes or refuses, in order. */
export interface AuditTrail {
  /** Records one entry; the trail adds `at` and `vm`. */
  record(entry: Omit<AuditEntry, "at" | "vm">): void;
}
