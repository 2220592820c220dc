import { CallPhase } from "./call_phase.ts";
import type { CallState } from "./call_state.ts";

/** Returns the state of a call that has just been read whole. */
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
    questionsAsked: 0,
    wakeAt: options.deadline,
  };
}
