import type { DispatchContext } from "../dispatch_context.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import { DispatchPhase } from "../dispatch_phase.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { refuseAndRecord } from "./refuse_and_record.ts";

/** Requests a slot from the admission, or refuses the call if its deadline has passed. */
export function queueDispatch(
  state: DispatchState,
  context: DispatchContext,
): DispatchStep {
  return context.now >= state.deadline
    ? refuseAndRecord(state, RefusalReason.DeadlinePassed, context)
    : {
      state: { ...state, phase: DispatchPhase.Queued },
      effects: [{ kind: DispatchEffectKind.RequestSlot }],
    };
}
