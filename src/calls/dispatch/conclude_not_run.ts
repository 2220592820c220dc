import type { RefusalReason } from "../refusal_reason.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { createConclusion } from "./create_conclusion.ts";
import { refuseNotRun } from "./refuse_not_run.ts";

/** Refuses a try that did not run, and tells the ledger. */
export function concludeNotRun(
  state: DispatchState,
  reason: RefusalReason,
  options: { readonly now: number; readonly retryAt?: number },
): DispatchStep {
  const step = refuseNotRun(state, reason, options);
  const conclusion = createConclusion(SettlementKind.NotRun, false);
  return { ...step, effects: [conclusion, ...step.effects] };
}
