import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import type { Refusal } from "../refusal.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { refuseCall } from "./refuse_call.ts";

/**
 * Refuses the call. If no backend server is left, the refusal of the last
 * attempt, if any, is reported instead.
 */
export function refuseAfterAttempts(
  state: CallState,
  refusal: Refusal,
): CallStep {
  const reported = refusal.reason === RefusalReason.NoBackendServer &&
      state.lastRefusal !== undefined
    ? state.lastRefusal.refusal
    : refusal;
  return refuseCall(state, reported);
}
