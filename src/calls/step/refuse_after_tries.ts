import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import type { Refusal } from "../refusal.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { refuseFinally } from "./refuse_finally.ts";

/** Refuses with what the last try said, where there was one. */
export function refuseAfterTries(state: CallState, refusal: Refusal): CallStep {
  const reported = refusal.reason === RefusalReason.NoBackendServer &&
      state.lastRefusal !== undefined
    ? state.lastRefusal.refusal
    : refusal;
  return refuseFinally(state, reported);
}
