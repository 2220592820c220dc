import { match, P } from "ts-pattern";
import type { CallContext } from "./call_context.ts";
import type { CallEffect } from "./call_effect.ts";
import { CallEffectKind } from "./call_effect_kind.ts";
import type { CallEvent } from "./call_event.ts";
import { CallEventKind } from "./call_event_kind.ts";
import { CallPhase } from "./call_phase.ts";
import type { CallState } from "./call_state.ts";
import type { CallStep } from "./call_step.ts";
import { createRefusal } from "./create_refusal.ts";
import type { NodeRefusal } from "./node_refusal.ts";
import { Outcome } from "./outcome.ts";
import type { Refusal } from "./refusal.ts";
import { RefusalReason } from "./refusal_reason.ts";
import type { Settlement } from "./settlement.ts";
import { SettlementKind } from "./settlement_kind.ts";

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
/** How long the outcome of a lost try may stay unanswered. */
const settlementMilliseconds = 1000;
/** How long to wait before asking again for the outcome of a try that runs. */
const nextQuestionMilliseconds = 100;
/** How long a process may take to read what has come before silence counts. */
const readingMilliseconds = 50;
/** A wake-up this late shows that this process was held up. */
const heldUpMilliseconds = 100;
const maximumAttempts = 4;

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
    .with({ kind: CallEventKind.Started }, () => tryNext(state, context, []))
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
      () => end(state, [{ kind: CallEffectKind.SendAnswer }]),
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
      () => end(state, [{ kind: CallEffectKind.EndStream }]),
    )
    .with(
      { kind: CallEventKind.Refused },
      ({ refusal }) => refused(state, refusal, context),
    )
    .with(
      { kind: CallEventKind.NotSent },
      ({ processGone }) => notSent(state, context, { processGone }),
    )
    .with({ kind: CallEventKind.ContactLost }, () => lost(state, context, []))
    .with(
      { kind: CallEventKind.Settled },
      ({ settlement }) => settled(state, settlement, context),
    )
    .with(
      { kind: CallEventKind.SettlementFailed },
      () => refuseUnknown(state, RefusalReason.ContactLost, context),
    )
    .with({ kind: CallEventKind.Woke }, () => woke(state, context))
    .with({ kind: CallEventKind.Stopped }, () => stopped(state, context))
    .with({ kind: CallEventKind.CallerLeft }, () =>
      end(state, [
        { kind: CallEffectKind.CancelTry },
        { kind: CallEffectKind.Abandon },
      ]))
    .exhaustive();
}

function end(state: CallState, effects: readonly CallEffect[]): CallStep {
  return {
    state: { ...state, phase: CallPhase.Ended, wakeAt: Infinity },
    effects,
  };
}

function tryNext(
  state: CallState,
  context: CallContext,
  effects: readonly CallEffect[],
): CallStep {
  if (context.now >= state.deadline) {
    return refuseLate(state, context);
  }
  const attempt = state.attempt + 1;
  return {
    state: {
      ...state,
      phase: CallPhase.Choosing,
      attempt,
      wakeAt: state.deadline,
    },
    effects: [...effects, {
      kind: CallEffectKind.Try,
      attempt,
      excluded: state.excluded,
    }],
  };
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

/**
 * Gives this process the time to read what has come: timers run before
 * connections are read, so a process that was held up would take a sign that
 * waits in a socket buffer for silence.
 */
function suspectSilence(state: CallState, context: CallContext): CallStep {
  return {
    state: {
      ...state,
      silenceSuspected: true,
      wakeAt: Math.min(state.deadline, context.now + readingMilliseconds),
    },
    effects: [],
  };
}

/** Tries elsewhere after a try that did not run, or that may run again. */
function tryElsewhere(
  state: CallState,
  context: CallContext,
  last: NodeRefusal,
): CallStep {
  const next: CallState = {
    ...state,
    lastRefusal: last,
    excluded: state.backendServer === undefined
      ? state.excluded
      : [...state.excluded, state.backendServer],
  };
  if (context.now >= state.deadline) {
    return refuseLate(next, context);
  }
  if (state.attempt >= maximumAttempts) {
    return refuseAfterTries(next, last.refusal);
  }
  if (!context.retryAllowed) {
    return refuseAfterTries(
      next,
      createRefusal(RefusalReason.RetryBudgetSpent, last.refusal.outcome, {
        now: context.now,
        retryAt: last.refusal.retryAt,
      }),
    );
  }
  return tryNext(next, context, [{ kind: CallEffectKind.SpendRetry }]);
}

function refused(
  state: CallState,
  answer: NodeRefusal,
  context: CallContext,
): CallStep {
  if (answer.refusal.outcome === Outcome.Unknown && !state.idempotent) {
    return refuseFinally({ ...state, mayHaveRun: true }, answer.refusal);
  }
  const next = {
    ...state,
    mayHaveRun: state.mayHaveRun || answer.refusal.outcome === Outcome.Unknown,
  };
  return isFinalReason(answer.refusal.reason)
    ? refuseFinally({ ...next, lastRefusal: answer }, answer.refusal)
    : tryElsewhere(next, context, answer);
}

/** Reasons that another backend server would give too. */
function isFinalReason(reason: RefusalReason): boolean {
  return reason === RefusalReason.KeyMismatch ||
    reason === RefusalReason.KeyRunning ||
    reason === RefusalReason.KeyUnsettled ||
    reason === RefusalReason.DeadlinePassed;
}

function notSent(
  state: CallState,
  context: CallContext,
  options: { readonly processGone: boolean },
): CallStep {
  const step = tryElsewhere(state, context, {
    keySettled: false,
    refusal: createRefusal(
      RefusalReason.BackendServerDown,
      Outcome.NotRun,
      { now: context.now },
    ),
  });
  return {
    ...step,
    effects: [
      { kind: CallEffectKind.AvoidNode, ...options },
      ...step.effects,
    ],
  };
}

function lost(
  state: CallState,
  context: CallContext,
  effects: readonly CallEffect[],
): CallStep {
  if (state.phase === CallPhase.Streaming) {
    return end(state, [...effects, { kind: CallEffectKind.BreakCaller }]);
  }
  if (state.idempotent) {
    const step = tryElsewhere(
      { ...state, mayHaveRun: true },
      context,
      {
        keySettled: false,
        refusal: createRefusal(
          RefusalReason.ContactLost,
          Outcome.Unknown,
          { now: context.now },
        ),
      },
    );
    return { ...step, effects: [...effects, ...step.effects] };
  }
  return ask(state, context, effects);
}

function ask(
  state: CallState,
  context: CallContext,
  effects: readonly CallEffect[],
): CallStep {
  const deadline = Math.min(
    state.deadline,
    context.now + settlementMilliseconds,
  );
  return {
    state: {
      ...state,
      phase: CallPhase.Settling,
      questionsAsked: state.questionsAsked + 1,
      wakeAt: state.deadline,
    },
    effects: [...effects, { kind: CallEffectKind.Settle, deadline }],
  };
}

function settled(
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
        end(state, [{ kind: CallEffectKind.SendStoredAnswer, answer }]),
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

function woke(state: CallState, context: CallContext): CallStep {
  if (context.now < state.wakeAt) {
    return { state, effects: [] };
  }
  const cancel: CallEffect = { kind: CallEffectKind.CancelTry };
  if (context.now >= state.deadline) {
    return late(state, context);
  }
  // A process that was itself held up has not looked at its connections yet.
  const heldUp = context.now - state.wakeAt > heldUpMilliseconds;
  return match(state.phase)
    .with(
      CallPhase.Sent,
      () =>
        heldUp || !state.silenceSuspected
          ? suspectSilence(state, context)
          : lost(state, context, [cancel, {
            kind: CallEffectKind.AvoidNode,
            processGone: false,
          }, { kind: CallEffectKind.RenewConnections }]),
    )
    .with(CallPhase.AwaitingOutcome, () => ask(state, context, []))
    .with(
      P.union(
        CallPhase.Choosing,
        CallPhase.Settling,
        CallPhase.Streaming,
        CallPhase.Ended,
      ),
      () => ({ state, effects: [] }),
    )
    .exhaustive();
}

function late(state: CallState, context: CallContext): CallStep {
  return giveUp(
    state,
    createRefusal(RefusalReason.DeadlinePassed, Outcome.NotRun, {
      now: context.now,
    }),
  );
}

/** Ends the call with its current try still open. */
function giveUp(state: CallState, refusal: Refusal): CallStep {
  const cancel: CallEffect = { kind: CallEffectKind.CancelTry };
  if (state.phase === CallPhase.Streaming) {
    return end(state, [cancel, { kind: CallEffectKind.BreakCaller }]);
  }
  const open = state.phase !== CallPhase.Choosing;
  const step = refuseFinally(
    { ...state, mayHaveRun: state.mayHaveRun || open },
    refusal,
  );
  return { ...step, effects: [cancel, ...step.effects] };
}

/** The node ends: the caller is told what is known by now. */
function stopped(state: CallState, context: CallContext): CallStep {
  return giveUp(
    state,
    createRefusal(RefusalReason.NodeDraining, Outcome.NotRun, {
      now: context.now,
    }),
  );
}

function refuseLate(state: CallState, context: CallContext): CallStep {
  return refuseFinally(
    state,
    createRefusal(RefusalReason.DeadlinePassed, Outcome.NotRun, {
      now: context.now,
    }),
  );
}

function refuseUnknown(
  state: CallState,
  reason: RefusalReason,
  context: CallContext,
): CallStep {
  return refuseFinally(
    { ...state, mayHaveRun: true },
    createRefusal(reason, Outcome.Unknown, { now: context.now }),
  );
}

/** Refuses with what the last try said, where there was one. */
function refuseAfterTries(state: CallState, refusal: Refusal): CallStep {
  const reported = refusal.reason === RefusalReason.NoBackendServer &&
      state.lastRefusal !== undefined
    ? state.lastRefusal.refusal
    : refusal;
  return refuseFinally(state, reported);
}

function refuseFinally(state: CallState, refusal: Refusal): CallStep {
  const keyOpen = state.repeatsPossible &&
    !(state.lastRefusal?.keySettled ?? false);
  const outcome = state.mayHaveRun || keyOpen
    ? Outcome.Unknown
    : Outcome.NotRun;
  return end(state, [
    { kind: CallEffectKind.Refuse, refusal: { ...refusal, outcome } },
  ]);
}
