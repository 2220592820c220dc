import type { RegisterState } from "./register_state.ts";

/** How long a removed entry remains a candidate; longer than a typical outage of the source. */
const retentionMilliseconds = 20_000;

/** Deletes the records of entries whose retention after the removal has ended. */
export function deleteExpiredRecords(state: RegisterState, now: number): void {
  Array.from(state.values())
    .filter(({ removedAt }) =>
      removedAt > 0 && removedAt + retentionMilliseconds <= now
    )
    .forEach(({ entry }) => state.delete(entry.identifier));
}
