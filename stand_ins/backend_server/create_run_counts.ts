import type { RunCounts } from "./run_counts.ts";

/** Returns run counts that are empty or zero. */
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
