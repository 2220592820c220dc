import type { Clock } from "../runtime/clock.ts";
import type { AuditEntry } from "./audit_entry.ts";
import type { RecentAuditTrail } from "./recent_audit_trail.ts";

/** Maximum number of entries retained in memory for queries by operators. */
const retainedEntriesMaximum = 2_000;

/** Creates a trail that calls `write` with each entry and retains the latest entries in memory. */
export function createAuditTrail(
  options: {
    readonly vm: string;
    readonly clock: Clock;
    readonly write: (entry: AuditEntry) => void;
  },
): RecentAuditTrail {
  const entries: AuditEntry[] = [];
  const followers = new Set<(entry: AuditEntry) => void>();
  return {
    record: (entry) => {
      const completeEntry = {
        ...entry,
        at: options.clock.now(),
        vm: options.vm,
      };
      entries.push(completeEntry);
      entries.splice(0, entries.length - retainedEntriesMaximum);
      options.write(completeEntry);
      followers.forEach((notify) => notify(completeEntry));
    },
    getRecent: () => [...entries],
    follow: (follower) => {
      followers.add(follower);
      return () => followers.delete(follower);
    },
  };
}
