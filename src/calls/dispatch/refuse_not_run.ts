import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { createDispatchRefusal } from "./create_dispatch_refusal.ts";
import { endDispatch } from "./end_dispatch.ts";

/**
 * Refuses an attempt as not run without recording an outcome, as the attempt is
 * not in the ledger and must not be recorded.
 */
export function refuseNotRun(
  state: DispatchState,
  reason: RefusalReason,
  options: { readonly now: number; readonly retryAt?: number },
): DispatchStep {
  return endDispatch(state, [
    createDispatchRefusal(state, reason, {
      ...options,
      outcome: Outcome.NotRun,
    }),
  ]);
}
