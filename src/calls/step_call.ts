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
import { abortCall } from "./step/abort_call.ts";
import { refuseAfterAttempts } from "./step/refuse_after_attempts.ts";
import { refuseUnknownOutcome } from "./step/refuse_unknown_outcome.ts";
import { handleContactLoss } from "./step/handle_contact_loss.ts";
import { handleRefusal } from "./step/handle_refusal.ts";
import { handleSettlement } from "./step/handle_settlement.ts";
import { handleUnsentAttempt } from "./step/handle_unsent_attempt.ts";
import { startAttempt } from "./step/start_attempt.ts";
import { handleCallTimer } from "./step/handle_call_timer.ts";

/**
 * How long a forwarded call may stay without any activity before its connection
 * counts as silent. The other node sends an interim response every 150 ms until
 * the answer begins, so three in a row have to be missing. That is longer than
 * the longest blocking of the event loop while a configuration is applied, and
 * far below the deadline of a usual call.
 */
const silenceTimeoutMilliseconds = 500;

/** How long a call may wait for a connection; opening one fails well before that. */
const connectTimeoutMilliseconds = 2000;

/**
 * Returns the state of a call on the node of its caller after an event, and the
 * effects to perform.
 *
 * Invariants: a call that is not idempotent has at most one attempt whose
 * outcome is open; a refusal states "not-run" only if every attempt is shown
 * not to have run; there are no effects after the phase `Ended`.
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
      () => startAttempt(state, context, { before: [] }),
    )
    .with(
      { kind: CallEventKind.Sent },
      (sent) => handleSent(state, context, sent),
    )
    .with(
      { kind: CallEventKind.NoCandidate },
      ({ refusal }) => refuseAfterAttempts(state, refusal),
    )
    .with(
      { kind: CallEventKind.ActivityObserved },
      () => handleActivity(state, context),
    )
    .with(
      { kind: CallEventKind.AnswerCompleted },
      () => endCall(state, [{ kind: CallEffectKind.SendAnswer }]),
    )
    .with({ kind: CallEventKind.StreamStarted }, () => ({
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
      ({ refusal }) => handleRefusal(state, refusal, context),
    )
    .with(
      { kind: CallEventKind.NotSent },
      ({ processGone }) => handleUnsentAttempt(state, context, { processGone }),
    )
    .with(
      { kind: CallEventKind.ContactLost },
      () => handleContactLoss(state, context, { before: [] }),
    )
    .with(
      { kind: CallEventKind.SettlementReceived },
      ({ settlement }) => handleSettlement(state, settlement, context),
    )
    .with(
      { kind: CallEventKind.OutcomeQueryFailed },
      () => refuseUnknownOutcome(state, RefusalReason.ContactLost, context),
    )
    .with(
      { kind: CallEventKind.TimerFired },
      () => handleCallTimer(state, context),
    )
    .with({ kind: CallEventKind.Stopped }, () => handleStop(state, context))
    .with({ kind: CallEventKind.CallerLeft }, () =>
      endCall(state, [
        { kind: CallEffectKind.CancelAttempt },
        { kind: CallEffectKind.Abandon },
      ]))
    .exhaustive();
}

function handleSent(
  state: CallState,
  context: CallContext,
  event: Extract<CallEvent, { kind: CallEventKind.Sent }>,
): CallStep {
  return {
    state: {
      ...state,
      phase: CallPhase.Sent,
      silenceSuspected: false,
      backendServer: event.backendServer,
      wakeAt: !event.remote
        ? state.deadline
        : event.awaitsConnection === true
        ? Math.min(state.deadline, context.now + connectTimeoutMilliseconds)
        : getSilenceDeadline(state, context),
    },
    effects: [],
  };
}

function getSilenceDeadline(state: CallState, context: CallContext): number {
  return Math.min(state.deadline, context.now + silenceTimeoutMilliseconds);
}

function handleActivity(state: CallState, context: CallContext): CallStep {
  return state.phase === CallPhase.Sent
    ? {
      state: {
        ...state,
        silenceSuspected: false,
        wakeAt: getSilenceDeadline(state, context),
      },
      effects: [],
    }
    : { state, effects: [] };
}

/** Ends the call because the node is stopping, with the outcome as it is known now. */
function handleStop(state: CallState, context: CallContext): CallStep {
  return abortCall(
    state,
    createRefusal(RefusalReason.NodeDraining, Outcome.NotRun, {
      now: context.now,
    }),
  );
}
