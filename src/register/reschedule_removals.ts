import { getRemovalConfirmedAt } from "./get_removal_confirmed_at.ts";
import type { RegisterState } from "./register_state.ts";

/**
 * Reschedules the removals that do not count yet, after the source has failed or
 * responded again. A removal that counted before the outage keeps counting: the
 * backend server had left, whatever the source says later.
 */
export function rescheduleRemovals(
  state: RegisterState,
  options: { readonly sourceAvailableSince: number; readonly now: number },
): void {
  const removalConfirmedAt = getRemovalConfirmedAt(options);
  Array.from(state.values())
    .filter((record) =>
      record.removedAt > 0 && record.removalConfirmedAt > options.now
    )
    .forEach((record) =>
      state.set(record.entry.identifier, { ...record, removalConfirmedAt })
    );
}
