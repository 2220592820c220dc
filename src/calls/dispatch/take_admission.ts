import { DispatchResult } from "../../admission/dispatch_result.ts";
import type { DispatchContext } from "../dispatch_context.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import { DispatchPhase } from "../dispatch_phase.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { addReport } from "./add_report.ts";
import { concludeNotRun } from "./conclude_not_run.ts";

/** Takes note that the try has a slot. */
export function takeAdmission(
  state: DispatchState,
  context: DispatchContext,
): DispatchStep {
  const obstacle = context.now >= state.deadline
    ? RefusalReason.DeadlinePassed
    : context.confirmingView
    ? RefusalReason.ConfirmingView
    : undefined;
  if (obstacle !== undefined) {
    const step = concludeNotRun(state, obstacle, context);
    return addReport(state, DispatchResult.Cancelled, step);
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
