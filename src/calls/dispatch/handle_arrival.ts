import type { DispatchContext } from "../dispatch_context.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { queueDispatch } from "./queue_dispatch.ts";
import { refuseNotRun } from "./refuse_not_run.ts";

/**
 * Handles the arrival of an attempt from the caller's node: refuses it,
 * consults the ledger or requests a slot.
 */
export function handleArrival(
  state: DispatchState,
  reason: RefusalReason | undefined,
  context: DispatchContext,
): DispatchStep {
  if (context.now >= state.deadline) {
    return refuseNotRun(state, RefusalReason.DeadlinePassed, context);
  }
  if (reason !== undefined) {
    return refuseNotRun(state, reason, context);
  }
  return state.keyed
    ? { state, effects: [{ kind: DispatchEffectKind.ConsultLedger }] }
    : queueDispatch(state, context);
}
