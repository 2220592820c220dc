import type { HolderState } from "./holder_state.ts";

/** A longer wait is stated as this one; the call may then be refused again. */
const refusalMillisecondsMaximum = 2_000;
const refusalMillisecondsMinimum = 50;

/**
 * Records a refused call. Returns the milliseconds after which its caller may
 * expect a token: the callers of refused calls get theirs one after the other,
 * in the order of the refusals.
 */
export function recordRefusedCall(
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
