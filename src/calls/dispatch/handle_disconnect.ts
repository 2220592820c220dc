import { match, P } from "ts-pattern";
import type { DispatchContext } from "../dispatch_context.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import { DispatchPhase } from "../dispatch_phase.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { cancelDispatch } from "./cancel_dispatch.ts";
import { createOutcomeRecord } from "./create_outcome_record.ts";
import { endDispatch } from "./end_dispatch.ts";
import { getUndispatchedOutcome } from "./get_undispatched_outcome.ts";

/**
 * Handles the loss of the connection on which the attempt was received. A
 * running attempt that is not idempotent and has no key is cancelled after
 * `graceMilliseconds`.
 */
export function handleDisconnect(
  state: DispatchState,
  context: DispatchContext,
  { graceMilliseconds }: { readonly graceMilliseconds: number },
): DispatchStep {
  return match(state.phase)
    .with(
      DispatchPhase.AwaitingLedger,
      () =>
        endDispatch(state, [
          createOutcomeRecord(getUndispatchedOutcome(state), false),
        ]),
    )
    .with(DispatchPhase.Queued, () =>
      endDispatch(state, [
        { kind: DispatchEffectKind.WithdrawRequest },
        createOutcomeRecord(SettlementKind.NotRun, false),
      ]))
    .with(P.union(DispatchPhase.Running, DispatchPhase.Streaming), () => {
      // A run with a key continues: the ledger keeps its outcome for a repeated
      // request.
      if (state.keyed) {
        return {
          state: { ...state, interimResponseAt: Infinity },
          effects: [],
        };
      }
      return state.idempotent || graceMilliseconds === 0 ||
          state.phase === DispatchPhase.Streaming
        ? cancelDispatch(state)
        : {
          state: {
            ...state,
            interimResponseAt: Infinity,
            cancelAt: context.now + graceMilliseconds,
          },
          effects: [],
        };
    })
    .with(DispatchPhase.Ended, () => ({ state, effects: [] }))
    .exhaustive();
}
