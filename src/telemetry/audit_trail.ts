import type { AuditEntry } from "./audit_entry.ts";

/** Receives the changes that a node makes, in order. */
export interface AuditTrail {
  /** Records one entry; `at` and `vm` are filled in by the trail. */
  record(entry: Omit<AuditEntry, "at" | "vm">): void;
}
