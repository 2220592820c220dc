import type { RunCounts } from "./run_counts.ts";

/** Returns counts of nothing. */
export function createRunCounts(): RunCounts {
  return {
    callIdentifiers: {},
    nonIdempotentCallIdentifiers: {},
    keys: {},
    tokens: {},
    begun: 0,
    finished: 0,
    cancelled: 0,
  };
}
