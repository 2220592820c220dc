import type { CallContext } from "../call_context.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { createRefusal } from "../create_refusal.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { refuseFinally } from "./refuse_finally.ts";

/** Refuses a call whose deadline has passed. */
export function refuseLate(state: CallState, context: CallContext): CallStep {
  return refuseFinally(
    state,
    createRefusal(RefusalReason.DeadlinePassed, Outcome.NotRun, {
      now: context.now,
    }),
  );
}
