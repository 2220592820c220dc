import type { RegisterState } from "./register_state.ts";

/**
 * Marks an entry as removed. The record is kept, since the node beside the
 * backend server may still accept calls.
 */
export function removeEntry(
  state: RegisterState,
  options: { readonly identifier: string; readonly now: number },
): void {
  const record = state.get(options.identifier);
  if (record === undefined || record.removedAt > 0) return;
  state.set(options.identifier, { ...record, removedAt: options.now });
}
