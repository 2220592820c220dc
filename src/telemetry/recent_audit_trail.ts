import type { AuditEntry } from "./audit_entry.ts";
import type { AuditTrail } from "./audit_trail.ts";

/** An audit trail whose latest entries can be read and followed. */
export interface RecentAuditTrail extends AuditTrail {
  /** Returns the latest entries, oldest first. */
  getRecent(): readonly AuditEntry[];
  /** Calls `follower` with every further entry until the returned function is called. */
  follow(follower: (entry: AuditEntry) => void): () => void;
}
