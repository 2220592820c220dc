import type { DispatchContext } from "../dispatch_context.ts";
import type { DispatchEvent } from "../dispatch_event.ts";
import { DispatchEventKind } from "../dispatch_event_kind.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { createDispatchRefusal } from "./create_dispatch_refusal.ts";
import { endDispatch } from "./end_dispatch.ts";

/** Refuses the attempt for the reason that the ledger gave. */
export function handleKeyRefusal(
  state: DispatchState,
  event: Extract<DispatchEvent, { kind: DispatchEventKind.KeyRefused }>,
  context: DispatchContext,
): DispatchStep {
  const { reason, mayHaveRun } = event;
  // A key that was used for a different request shows that this request did not
  // run.
  const keySettled = reason === RefusalReason.KeyMismatch;
  return endDispatch(state, [
    createDispatchRefusal({ ...state, keySettled }, reason, {
      now: context.now,
      outcome: mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
    }),
  ]);
}
