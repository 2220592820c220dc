import { CallPhase } from "./call_phase.ts";
import type { CallState } from "./call_state.ts";

/** Returns the initial state of a call whose request was received completely. */
export function createCallState(
  options: Pick<CallState, "idempotent" | "repeatsPossible" | "deadline">,
): CallState {
  return {
    phase: CallPhase.Choosing,
    ...options,
    attempt: 0,
    backendServer: undefined,
    excluded: [],
    mayHaveRun: false,
    lastRefusal: undefined,
    silenceSuspected: false,
    outcomeQueryCount: 0,
    wakeAt: options.deadline,
  };
}
