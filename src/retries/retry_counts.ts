import type { RetrySlice } from "./retry_slice.ts";

/** The slices of the sliding window of a service's retry budget, the oldest first. Mutable. */
export type RetryCounts = RetrySlice[];
