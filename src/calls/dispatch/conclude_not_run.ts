import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { createConclusion } from "./create_conclusion.ts";
import { createDispatchRefusal } from "./create_dispatch_refusal.ts";
import { endDispatch } from "./end_dispatch.ts";

/** Refuses a try that did not run, and tells the ledger. */
export function concludeNotRun(
  state: DispatchState,
  reason: RefusalReason,
  options: { readonly now: number; readonly retryAt?: number },
): DispatchStep {
  return endDispatch(state, [
    createConclusion(SettlementKind.NotRun, false),
    createDispatchRefusal(state, reason, {
      ...options,
      outcome: Outcome.NotRun,
    }),
  ]);
}
