import type { RegisterRecord } from "./register_record.ts";

/** How long the source takes, after an outage, to list again the backend servers that live. */
const relistMilliseconds = 2_200;

/**
 * Whether a removed entry means that its backend server leaves or is dead.
 * During an outage of the source entries lapse although their backend servers
 * live, so a removal counts only while the source is sound.
 */
export function isGone(
  record: RegisterRecord,
  options: {
    /** Since when the source has answered without a failure; infinity while it does not. */
    readonly sourceSoundSince: number;
    readonly now: number;
  },
): boolean {
  const { sourceSoundSince, now } = options;
  return record.vanishedAt > 0 &&
    sourceSoundSince + relistMilliseconds <= now;
}
