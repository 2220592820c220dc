import type { RegisterRecord } from "./register_record.ts";

/** Time in which the source lists all live backend servers again after an outage. */
const relistMilliseconds = 2_200;

/**
 * Whether the entry was removed because its backend server is leaving or dead.
 * During an outage of the source, entries expire although their backend servers
 * are alive, so a removal counts only after the source has answered for
 * `relistMilliseconds` without a failure.
 */
export function isRemovalConfirmed(
  record: RegisterRecord,
  options: {
    /** Since when the source has answered without a failure, in milliseconds since the Unix epoch; infinity while it fails. */
    readonly sourceSoundSince: number;
    readonly now: number;
  },
): boolean {
  const { sourceSoundSince, now } = options;
  return record.vanishedAt > 0 &&
    sourceSoundSince + relistMilliseconds <= now;
}
