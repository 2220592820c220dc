import type { RetrySlice } from "./retry_slice.ts";

/** The slices of a service's retry window, the oldest first. Changed in place. */
export type RetryCounts = RetrySlice[];
