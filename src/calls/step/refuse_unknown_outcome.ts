import type { CallContext } from "../call_context.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { createRefusal } from "../create_refusal.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { refuseCall } from "./refuse_call.ts";

/** Refuses a call one attempt of which may have run. */
export function refuseUnknownOutcome(
  state: CallState,
  reason: RefusalReason,
  context: CallContext,
): CallStep {
  return refuseCall(
    { ...state, mayHaveRun: true },
    createRefusal(reason, Outcome.Unknown, { now: context.now }),
  );
}
