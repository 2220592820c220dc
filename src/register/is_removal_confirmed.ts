import type { RegisterRecord } from "./register_record.ts";

/** Time in which the source lists all live backend servers again after an outage. */
const relistMilliseconds = 2_200;

/**
 * Whether the entry was removed because its backend server is leaving or has
 * failed. During an outage of the source, entries expire although their backend
 * servers are alive, so a removal counts only after the source has responded
 * for `relistMilliseconds` without a failure.
 */
export function isRemovalConfirmed(
  record: RegisterRecord,
  options: {
    /** Instant since which the source has responded without a failure, in milliseconds since the Unix epoch; infinity while it fails. */
    readonly sourceAvailableSince: number;
    readonly now: number;
  },
): boolean {
  const { sourceAvailableSince, now } = options;
  return record.removedAt > 0 &&
    sourceAvailableSince + relistMilliseconds <= now;
}
