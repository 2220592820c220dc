import type { AuditEntry } from "./audit_entry.ts";
import type { AuditTrail } from "./audit_trail.ts";

/** An audit trail that also shows its latest entries. */
export interface RecentAuditTrail extends AuditTrail {
  /** Returns the latest entries, oldest first. */
  getRecent(): readonly AuditEntry[];
  /** Calls `follower` with every further entry; the function returned ends that. */
  follow(follower: (entry: AuditEntry) => void): () => void;
}
