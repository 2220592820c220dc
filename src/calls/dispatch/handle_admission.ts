import { DispatchResult } from "../../admission/dispatch_result.ts";
import type { DispatchContext } from "../dispatch_context.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import { DispatchPhase } from "../dispatch_phase.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { prependReport } from "./prepend_report.ts";
import { refuseAndRecord } from "./refuse_and_record.ts";

/**
 * Dispatches the attempt after it was admitted, unless the deadline has passed
 * or the node is confirming its view.
 */
export function handleAdmission(
  state: DispatchState,
  context: DispatchContext,
): DispatchStep {
  const reason = context.now >= state.deadline
    ? RefusalReason.DeadlinePassed
    : context.confirmingView
    ? RefusalReason.ConfirmingView
    : undefined;
  if (reason !== undefined) {
    const step = refuseAndRecord(state, reason, context);
    return prependReport(state, DispatchResult.Cancelled, step);
  }
  return {
    state: {
      ...state,
      phase: DispatchPhase.Running,
      dispatchedAt: context.now,
    },
    effects: [{ kind: DispatchEffectKind.Dispatch }],
  };
}
