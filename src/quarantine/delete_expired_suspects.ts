import type { QuarantineState } from "./quarantine_state.ts";

/** As long as the longest quarantine. */
const suspicionMilliseconds = 600_000;

/**
 * Deletes the requests whose last crash is long ago. `now` is in milliseconds
 * since the Unix epoch.
 */
export function deleteExpiredSuspects(
  state: QuarantineState,
  now: number,
): void {
  Array.from(state.suspects)
    .filter(([, { lastCrashAt }]) => now >= lastCrashAt + suspicionMilliseconds)
    .forEach(([fingerprint]) => state.suspects.delete(fingerprint));
}
