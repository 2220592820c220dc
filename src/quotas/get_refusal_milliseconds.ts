import type { HolderState } from "./holder_state.ts";

/** Callers that would have to wait longer are as well off with another try. */
const refusalMillisecondsMaximum = 2_000;
const refusalMillisecondsMinimum = 50;

/**
 * Returns after how many milliseconds the caller of a refused call may expect a
 * token, and counts the call: the refused callers return one after the other, in
 * the order of their refusals.
 */
export function getRefusalMilliseconds(
  state: HolderState,
  options: {
    readonly now: number;
    /** From 0 to 1: spreads callers of different nodes over one turn. */
    readonly random: number;
  },
): number {
  const { now, random } = options;
  const turns = state.refusedCalls + random;
  state.refusedCalls += 1;
  const wait = Math.max(0, state.refusedUntil - now) +
    turns * state.refusedMilliseconds;
  return Math.max(
    refusalMillisecondsMinimum,
    Math.min(refusalMillisecondsMaximum, wait),
  );
}
