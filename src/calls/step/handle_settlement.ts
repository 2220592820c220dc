import { match, P } from "ts-pattern";
import type { CallContext } from "../call_context.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import { CallPhase } from "../call_phase.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { createRefusal } from "../create_refusal.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import type { Settlement } from "../settlement.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { endCall } from "./end_call.ts";
import { refuseUnknownOutcome } from "./refuse_unknown_outcome.ts";
import { retryCall } from "./retry_call.ts";

/** Interval between outcome queries for an attempt that is running. */
const queryIntervalMilliseconds = 100;

/** Handles the settlement of an attempt whose connection was lost. */
export function handleSettlement(
  state: CallState,
  settlement: Settlement,
  context: CallContext,
): CallStep {
  if (state.phase !== CallPhase.Settling) {
    return { state, effects: [] };
  }
  return match(settlement)
    .with(
      { kind: SettlementKind.Finished, answer: P.nonNullable },
      ({ answer }) =>
        endCall(state, [{ kind: CallEffectKind.SendStoredAnswer, answer }]),
    )
    .with(
      { kind: P.union(SettlementKind.Finished, SettlementKind.Unknown) },
      () => refuseUnknownOutcome(state, RefusalReason.ContactLost, context),
    )
    .with({ kind: SettlementKind.Running }, () => ({
      state: {
        ...state,
        phase: CallPhase.AwaitingOutcome,
        wakeAt: Math.min(
          state.deadline,
          context.now + queryIntervalMilliseconds,
        ),
      },
      effects: [],
    }))
    .with(
      { kind: SettlementKind.NotRun },
      () => retryAfterFence(state, context),
    )
    .exhaustive();
}

/**
 * Retries the call after the lost attempt was fenced. The node has replied on a
 * new connection, so it is not excluded from the retry.
 */
function retryAfterFence(state: CallState, context: CallContext): CallStep {
  const step = retryCall({ ...state, backendServer: undefined }, context, {
    keySettled: false,
    refusal: createRefusal(RefusalReason.Fenced, Outcome.NotRun, {
      now: context.now,
    }),
  });
  return {
    ...step,
    effects: [{ kind: CallEffectKind.StopAvoiding }, ...step.effects],
  };
}
