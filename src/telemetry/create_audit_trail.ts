import type { Clock } from "../runtime/clock.ts";
import type { AuditEntry } from "./audit_entry.ts";
import type { RecentAuditTrail } from "./recent_audit_trail.ts";

/** How many entries a node keeps for operators who ask later. */
const keptEntriesMaximum = 2_000;

/** Creates a trail that passes each entry to `write` and keeps the latest ones in memory. */
export function createAuditTrail(
  options: {
    readonly vm: string;
    readonly clock: Clock;
    readonly write: (entry: AuditEntry) => void;
  },
): RecentAuditTrail {
  const kept: AuditEntry[] = [];
  const followers = new Set<(entry: AuditEntry) => void>();
  return {
    record: (entry) => {
      const whole = { ...entry, at: options.clock.now(), vm: options.vm };
      kept.push(whole);
      kept.splice(0, kept.length - keptEntriesMaximum);
      options.write(whole);
      followers.forEach((follow) => follow(whole));
    },
    getRecent: () => [...kept],
    follow: (follower) => {
      followers.add(follower);
      return () => followers.delete(follower);
    },
  };
}
