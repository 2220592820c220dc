import { getRemovalConfirmedAt } from "./get_removal_confirmed_at.ts";
import type { RegisterState } from "./register_state.ts";

/**
 * Marks an entry as removed. The record is kept, since the node beside the
 * backend server may still accept calls.
 */
export function removeEntry(
  state: RegisterState,
  options: {
    readonly identifier: string;
    /** Instant since which the source has responded without a failure, in milliseconds since the Unix epoch; infinity while it fails. */
    readonly sourceAvailableSince: number;
    readonly now: number;
  },
): void {
  const record = state.get(options.identifier);
  if (record === undefined || record.removedAt > 0) return;
  state.set(options.identifier, {
    ...record,
    removedAt: options.now,
    removalConfirmedAt: getRemovalConfirmedAt(options),
  });
}
