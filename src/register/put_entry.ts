import type { RegisterEntry } from "./register_entry.ts";
import type { RegisterState } from "./register_state.ts";

/**
 * Adds or replaces an entry. The removals of other entries with the same address
 * count from then on, since an address belongs to one backend server at a time.
 */
export function putEntry(state: RegisterState, entry: RegisterEntry): void {
  Array.from(state.values())
    .filter(({ entry: other, removedAt }) =>
      removedAt > 0 && other.identifier !== entry.identifier &&
      other.address.host === entry.address.host &&
      other.address.port === entry.address.port
    )
    .forEach((record) =>
      state.set(record.entry.identifier, {
        ...record,
        removalConfirmedAt: record.removedAt,
      })
    );
  state.set(entry.identifier, {
    entry,
    removedAt: 0,
    removalConfirmedAt: Number.POSITIVE_INFINITY,
  });
}
