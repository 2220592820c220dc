import type { RetryAllowance } from "./retry_allowance.ts";
import type { RetryCounts } from "./retry_counts.ts";
import type { RetrySlice } from "./retry_slice.ts";
import { slicesPerWindow } from "./slices_per_window.ts";

/** Returns the slice that contains `now`, creating it if needed, and removes the slices that left the window. */
export function getRetrySlice(
  counts: RetryCounts,
  options: { readonly allowance: RetryAllowance; readonly now: number },
): RetrySlice {
  const { allowance, now } = options;
  const index = Math.floor(
    now / (allowance.windowMilliseconds / slicesPerWindow),
  );
  const outdated =
    counts.filter((slice) => slice.index < index - slicesPerWindow).length;
  counts.splice(0, outdated);
  const last = counts.at(-1);
  if (last !== undefined && last.index === index) return last;
  const slice = { index, calls: 0, repeats: 0 };
  counts.push(slice);
  return slice;
}
