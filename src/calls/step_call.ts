import { match } from "ts-pattern";
import type { CallContext } from "./call_context.ts";
import { CallEffectKind } from "./call_effect_kind.ts";
import type { CallEvent } from "./call_event.ts";
import { CallEventKind } from "./call_event_kind.ts";
import { CallPhase } from "./call_phase.ts";
import type { CallState } from "./call_state.ts";
import type { CallStep } from "./call_step.ts";
import { createRefusal } from "./create_refusal.ts";
import { Outcome } from "./outcome.ts";
import { RefusalReason } from "./refusal_reason.ts";
import { endCall } from "./step/end_call.ts";
import { giveUpCall } from "./step/give_up_call.ts";
import { refuseAfterTries } from "./step/refuse_after_tries.ts";
import { refuseUnknown } from "./step/refuse_unknown.ts";
import { takeContactLoss } from "./step/take_contact_loss.ts";
import { takeRefusal } from "./step/take_refusal.ts";
import { takeSettlement } from "./step/take_settlement.ts";
import { takeUnsent } from "./step/take_unsent.ts";
import { tryNext } from "./step/try_next.ts";
import { wakeCall } from "./step/wake_call.ts";

/**
 * How long a handed-over call may stay without any sign of the other node
 * before its connection counts as silent. The other node sends a sign every
 * 150 ms until the answer begins, so three signs in a row have to be missing;
 * that is longer than the longest blocking of the event loop that applying a
 * configuration causes, and far below the deadline of a usual call.
 */
const silenceMilliseconds = 500;

/** How long a call may wait for a connection; opening one fails well before. */
const connectionMilliseconds = 2000;

/**
 * Advances one call on the node that took it from its caller.
 *
 * Invariants: a call that is not idempotent has at most one try whose outcome
 * is open; a refusal says "not run" only where every try was shown not to have
 * run; after `Ended` there are no effects.
 */
export function stepCall(
  state: CallState,
  event: CallEvent,
  context: CallContext,
): CallStep {
  if (state.phase === CallPhase.Ended) {
    return { state, effects: [] };
  }
  return match(event)
    .with(
      { kind: CallEventKind.Started },
      () => tryNext(state, context, { before: [] }),
    )
    .with(
      { kind: CallEventKind.Sent },
      (sending) => sent(state, context, sending),
    )
    .with(
      { kind: CallEventKind.NoneChosen },
      ({ refusal }) => refuseAfterTries(state, refusal),
    )
    .with({ kind: CallEventKind.Heard }, () => heard(state, context))
    .with(
      { kind: CallEventKind.AnswerWhole },
      () => endCall(state, [{ kind: CallEffectKind.SendAnswer }]),
    )
    .with({ kind: CallEventKind.AnswerStreams }, () => ({
      state: {
        ...state,
        phase: CallPhase.Streaming,
        wakeAt: state.deadline,
      },
      effects: [{ kind: CallEffectKind.BeginStream } as const],
    }))
    .with(
      { kind: CallEventKind.StreamEnded },
      () => endCall(state, [{ kind: CallEffectKind.EndStream }]),
    )
    .with(
      { kind: CallEventKind.Refused },
      ({ refusal }) => takeRefusal(state, refusal, context),
    )
    .with(
      { kind: CallEventKind.NotSent },
      ({ processGone }) => takeUnsent(state, context, { processGone }),
    )
    .with(
      { kind: CallEventKind.ContactLost },
      () => takeContactLoss(state, context, { before: [] }),
    )
    .with(
      { kind: CallEventKind.Settled },
      ({ settlement }) => takeSettlement(state, settlement, context),
    )
    .with(
      { kind: CallEventKind.SettlementFailed },
      () => refuseUnknown(state, RefusalReason.ContactLost, context),
    )
    .with({ kind: CallEventKind.Woke }, () => wakeCall(state, context))
    .with({ kind: CallEventKind.Stopped }, () => stopped(state, context))
    .with({ kind: CallEventKind.CallerLeft }, () =>
      endCall(state, [
        { kind: CallEffectKind.CancelTry },
        { kind: CallEffectKind.Abandon },
      ]))
    .exhaustive();
}

function sent(
  state: CallState,
  context: CallContext,
  sending: Extract<CallEvent, { kind: CallEventKind.Sent }>,
): CallStep {
  return {
    state: {
      ...state,
      phase: CallPhase.Sent,
      silenceSuspected: false,
      backendServer: sending.backendServer,
      wakeAt: !sending.remote
        ? state.deadline
        : sending.awaitsConnection === true
        ? Math.min(state.deadline, context.now + connectionMilliseconds)
        : getSilentAt(state, context),
    },
    effects: [],
  };
}

function getSilentAt(state: CallState, context: CallContext): number {
  return Math.min(state.deadline, context.now + silenceMilliseconds);
}

function heard(state: CallState, context: CallContext): CallStep {
  return state.phase === CallPhase.Sent
    ? {
      state: {
        ...state,
        silenceSuspected: false,
        wakeAt: getSilentAt(state, context),
      },
      effects: [],
    }
    : { state, effects: [] };
}

/** The node ends: the caller is told what is known by now. */
function stopped(state: CallState, context: CallContext): CallStep {
  return giveUpCall(
    state,
    createRefusal(RefusalReason.NodeDraining, Outcome.NotRun, {
      now: context.now,
    }),
  );
}
