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
import { refuseUnknown } from "./refuse_unknown.ts";
import { tryElsewhere } from "./try_elsewhere.ts";

/** How long to wait before asking again for the outcome of a try that runs. */
const nextQuestionMilliseconds = 100;

/** Takes what the other node says of the lost try. */
export function takeSettlement(
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
      () => refuseUnknown(state, RefusalReason.ContactLost, context),
    )
    .with({ kind: SettlementKind.Running }, () => ({
      state: {
        ...state,
        phase: CallPhase.AwaitingOutcome,
        wakeAt: Math.min(
          state.deadline,
          context.now + nextQuestionMilliseconds,
        ),
      },
      effects: [],
    }))
    .with(
      { kind: SettlementKind.NotRun },
      () => tryAfterFence(state, context),
    )
    .exhaustive();
}

/**
 * Tries again after a lost try was fenced. The node has answered on a fresh
 * connection, so it may be tried again as well.
 */
function tryAfterFence(state: CallState, context: CallContext): CallStep {
  const step = tryElsewhere({ ...state, backendServer: undefined }, context, {
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
