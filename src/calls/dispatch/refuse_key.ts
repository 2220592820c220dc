import type { DispatchContext } from "../dispatch_context.ts";
import type { DispatchEvent } from "../dispatch_event.ts";
import { DispatchEventKind } from "../dispatch_event_kind.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { createDispatchRefusal } from "./create_dispatch_refusal.ts";
import { endDispatch } from "./end_dispatch.ts";

/** Passes on why the ledger does not let the call run. */
export function refuseKey(
  state: DispatchState,
  refused: Extract<DispatchEvent, { kind: DispatchEventKind.KeyRefused }>,
  context: DispatchContext,
): DispatchStep {
  const { reason, mayHaveRun } = refused;
  // A key that belongs to another request shows that this one did not run.
  const keySettled = reason === RefusalReason.KeyMismatch;
  return endDispatch(state, [
    createDispatchRefusal({ ...state, keySettled }, reason, {
      now: context.now,
      outcome: mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
    }),
  ]);
}
