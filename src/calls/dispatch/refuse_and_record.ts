import type { RefusalReason } from "../refusal_reason.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { createOutcomeRecord } from "./create_outcome_record.ts";
import { refuseNotRun } from "./refuse_not_run.ts";

/** Refuses an attempt that did not run and records this outcome, also in the ledger. */
export function refuseAndRecord(
  state: DispatchState,
  reason: RefusalReason,
  options: { readonly now: number; readonly retryAt?: number },
): DispatchStep {
  const step = refuseNotRun(state, reason, options);
  const record = createOutcomeRecord(SettlementKind.NotRun, false);
  return { ...step, effects: [record, ...step.effects] };
}
