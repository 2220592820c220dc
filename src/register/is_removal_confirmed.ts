import type { RegisterRecord } from "./register_record.ts";

/** Whether the entry was removed because its backend server is leaving or has failed. */
export function isRemovalConfirmed(
  record: RegisterRecord,
  now: number,
): boolean {
  return record.removedAt > 0 && record.removalConfirmedAt <= now;
}
