import { match, P } from "ts-pattern";
import type { DispatchContext } from "../dispatch_context.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import { DispatchPhase } from "../dispatch_phase.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { cancelDispatch } from "./cancel_dispatch.ts";
import { createConclusion } from "./create_conclusion.ts";
import { endDispatch } from "./end_dispatch.ts";
import { getWaitingOutcome } from "./get_waiting_outcome.ts";

/** Nobody reads the answer any more, or only for a time. */
export function takeCallerLeaving(
  state: DispatchState,
  context: DispatchContext,
  { graceMilliseconds }: { readonly graceMilliseconds: number },
): DispatchStep {
  return match(state.phase)
    .with(
      DispatchPhase.AwaitingLedger,
      () =>
        endDispatch(state, [createConclusion(getWaitingOutcome(state), false)]),
    )
    .with(DispatchPhase.Queued, () =>
      endDispatch(state, [
        { kind: DispatchEffectKind.WithdrawRequest },
        createConclusion(SettlementKind.NotRun, false),
      ]))
    .with(P.union(DispatchPhase.Running, DispatchPhase.Streaming), () => {
      // A run with a key goes on: the ledger keeps its outcome for a repeat.
      if (state.keyed) {
        return { state: { ...state, signAt: Infinity }, effects: [] };
      }
      return state.idempotent || graceMilliseconds === 0 ||
          state.phase === DispatchPhase.Streaming
        ? cancelDispatch(state)
        : {
          state: {
            ...state,
            signAt: Infinity,
            cancelAt: context.now + graceMilliseconds,
          },
          effects: [],
        };
    })
    .with(DispatchPhase.Ended, () => ({ state, effects: [] }))
    .exhaustive();
}
