import { match, P } from "ts-pattern";
import { DispatchResult } from "../admission/dispatch_result.ts";
import { createRefusal } from "./create_refusal.ts";
import type { DispatchEffect } from "./dispatch_effect.ts";
import { DispatchEffectKind } from "./dispatch_effect_kind.ts";
import type { DispatchEvent } from "./dispatch_event.ts";
import { DispatchEventKind } from "./dispatch_event_kind.ts";
import { DispatchPhase } from "./dispatch_phase.ts";
import type { DispatchState } from "./dispatch_state.ts";
import type { DispatchStep } from "./dispatch_step.ts";
import { Outcome } from "./outcome.ts";
import { RefusalReason } from "./refusal_reason.ts";
import { SettlementKind } from "./settlement_kind.ts";
import { signIntervalMilliseconds } from "./sign_interval_milliseconds.ts";

interface DispatchContext {
  /** In milliseconds since the Unix epoch. */
  readonly now: number;
  /** Whether the node was paused and its view may be old. */
  readonly confirmingView?: boolean;
}

/**
 * How long a run that is not idempotent goes on after its connection closed.
 * The node that took the call may have lost the connection alone and asks for
 * the outcome within this time; otherwise the run is cancelled.
 */
const graceMilliseconds = 200;
/** As above, once the outcome has been asked for: the next question comes within this time. */
const askedGraceMilliseconds = 1000;

/**
 * Advances one try on the node beside its backend server.
 *
 * Invariants: `Dispatch` is given at most once, before the deadline, and after
 * the ledger allowed the key; every `Admitted` is followed by exactly one
 * `Report`; a refusal says "not run" only if `Dispatch` was not given or the
 * backend server showed that it did not begin.
 */
export function stepDispatch(
  state: DispatchState,
  event: DispatchEvent,
  context: DispatchContext,
): DispatchStep {
  if (state.phase === DispatchPhase.Ended) {
    return { state, effects: [] };
  }
  return match(event)
    .with(
      { kind: DispatchEventKind.Arrived },
      ({ obstacle }) => arrived(state, obstacle, context),
    )
    .with(
      { kind: DispatchEventKind.KeyAllowed },
      () => queue({ ...state, keySettled: true }, context),
    )
    .with({ kind: DispatchEventKind.KeyJoined }, () => ({
      state: { ...state, joinsRun: true },
      effects: [],
    }))
    .with(
      { kind: DispatchEventKind.KeyAnswered },
      ({ answer }) =>
        end(state, [{ kind: DispatchEffectKind.SendStoredAnswer, answer }]),
    )
    .with(
      { kind: DispatchEventKind.KeyRefused },
      (refused) => refuseKey(state, refused, context),
    )
    .with({ kind: DispatchEventKind.Admitted }, () => admitted(state, context))
    .with(
      { kind: DispatchEventKind.AdmissionRefused },
      ({ reason, retryAt }) =>
        concludeNotRun(state, reason, { now: context.now, retryAt }),
    )
    .with(
      { kind: DispatchEventKind.AnswerWhole },
      ({ overloaded }) =>
        end(state, [
          report(
            state,
            overloaded ? DispatchResult.Shed : DispatchResult.Answered,
          ),
          conclude(SettlementKind.Finished, true),
          { kind: DispatchEffectKind.SendAnswer },
        ]),
    )
    .with({ kind: DispatchEventKind.AnswerStreams }, () => ({
      state: { ...state, phase: DispatchPhase.Streaming, signAt: Infinity },
      effects: [{ kind: DispatchEffectKind.BeginStream } as const],
    }))
    .with({ kind: DispatchEventKind.StreamEnded }, () =>
      end(state, [
        report(state, DispatchResult.Answered),
        conclude(SettlementKind.Finished, false),
        { kind: DispatchEffectKind.EndStream },
      ]))
    .with({ kind: DispatchEventKind.Shed }, ({ retryAt }) => {
      const step = concludeNotRun(state, RefusalReason.Full, {
        now: context.now,
        retryAt,
      });
      return withReport(state, DispatchResult.Shed, step);
    })
    .with({ kind: DispatchEventKind.NotConnected }, () => {
      const step = concludeNotRun(state, RefusalReason.BackendServerDown, {
        now: context.now,
      });
      return withReport(state, DispatchResult.ConnectionRefused, step);
    })
    .with({ kind: DispatchEventKind.Broken }, () => broken(state, context))
    .with(
      { kind: DispatchEventKind.ContactLost },
      () => left(state, context, graceMilliseconds),
    )
    .with(
      { kind: DispatchEventKind.CallerLeft },
      () => left(state, context, 0),
    )
    .with({ kind: DispatchEventKind.Asked }, () => ({
      state: state.cancelAt === Infinity
        ? state
        : { ...state, cancelAt: context.now + askedGraceMilliseconds },
      effects: [],
    }))
    .with({ kind: DispatchEventKind.Woke }, () => woke(state, context))
    .with(
      { kind: DispatchEventKind.Stopped },
      () => giveUp(state, RefusalReason.NodeDraining, context),
    )
    .exhaustive();
}

function arrived(
  state: DispatchState,
  obstacle: RefusalReason | undefined,
  context: DispatchContext,
): DispatchStep {
  if (context.now >= state.deadline) {
    return refuseNotRun(state, RefusalReason.DeadlinePassed, context);
  }
  if (obstacle !== undefined) {
    return refuseNotRun(state, obstacle, context);
  }
  return state.keyed
    ? { state, effects: [{ kind: DispatchEffectKind.ConsultLedger }] }
    : queue(state, context);
}

function queue(state: DispatchState, context: DispatchContext): DispatchStep {
  return context.now >= state.deadline
    ? concludeNotRun(state, RefusalReason.DeadlinePassed, context)
    : {
      state: { ...state, phase: DispatchPhase.Queued },
      effects: [{ kind: DispatchEffectKind.RequestSlot }],
    };
}

function admitted(
  state: DispatchState,
  context: DispatchContext,
): DispatchStep {
  const obstacle = context.now >= state.deadline
    ? RefusalReason.DeadlinePassed
    : context.confirmingView
    ? RefusalReason.ConfirmingView
    : undefined;
  if (obstacle !== undefined) {
    const step = concludeNotRun(state, obstacle, context);
    return withReport(state, DispatchResult.Cancelled, step);
  }
  return {
    state: {
      ...state,
      phase: DispatchPhase.Running,
      dispatchedAt: context.now,
    },
    effects: [{ kind: DispatchEffectKind.Dispatch }],
  };
}

function broken(state: DispatchState, context: DispatchContext): DispatchStep {
  const streaming = state.phase === DispatchPhase.Streaming;
  return end(state, [
    report(state, DispatchResult.Broken),
    conclude(SettlementKind.Unknown, false),
    streaming
      ? { kind: DispatchEffectKind.BreakStream }
      : refusal(state, RefusalReason.AnswerBroken, {
        now: context.now,
        outcome: Outcome.Unknown,
      }),
  ]);
}

/** Nobody reads the answer any more, or only for a time. */
function left(
  state: DispatchState,
  context: DispatchContext,
  grace: number,
): DispatchStep {
  return match(state.phase)
    .with(
      DispatchPhase.AwaitingLedger,
      () => end(state, [conclude(getWaitingOutcome(state), false)]),
    )
    .with(DispatchPhase.Queued, () =>
      end(state, [
        { kind: DispatchEffectKind.WithdrawRequest },
        conclude(SettlementKind.NotRun, false),
      ]))
    .with(P.union(DispatchPhase.Running, DispatchPhase.Streaming), () => {
      // A run with a key goes on: the ledger keeps its outcome for a repeat.
      if (state.keyed) {
        return { state: { ...state, signAt: Infinity }, effects: [] };
      }
      return state.idempotent || grace === 0 ||
          state.phase === DispatchPhase.Streaming
        ? cancel(state)
        : {
          state: {
            ...state,
            signAt: Infinity,
            cancelAt: context.now + grace,
          },
          effects: [],
        };
    })
    .with(DispatchPhase.Ended, () => ({ state, effects: [] }))
    .exhaustive();
}

function cancel(state: DispatchState): DispatchStep {
  return end(state, [
    { kind: DispatchEffectKind.CancelDispatch },
    report(state, DispatchResult.Cancelled),
    conclude(SettlementKind.Unknown, false),
  ]);
}

function woke(state: DispatchState, context: DispatchContext): DispatchStep {
  if (context.now >= state.deadline) {
    return giveUp(state, RefusalReason.DeadlinePassed, context);
  }
  if (context.now >= state.cancelAt) {
    return cancel(state);
  }
  return context.now >= state.signAt
    ? {
      state: { ...state, signAt: context.now + signIntervalMilliseconds },
      effects: [{ kind: DispatchEffectKind.SendSign }],
    }
    : { state, effects: [] };
}

/** Ends the try: what waits is refused as not run, what runs is cut. */
function giveUp(
  state: DispatchState,
  reason: RefusalReason,
  context: DispatchContext,
): DispatchStep {
  return match(state.phase)
    .with(
      DispatchPhase.AwaitingLedger,
      () =>
        state.joinsRun
          ? leaveRun(state, reason, context)
          : concludeNotRun(state, reason, context),
    )
    .with(DispatchPhase.Queued, () => {
      const step = concludeNotRun(state, reason, context);
      return {
        ...step,
        effects: [
          { kind: DispatchEffectKind.WithdrawRequest } as const,
          ...step.effects,
        ],
      };
    })
    .with(DispatchPhase.Running, () =>
      cutRun(state, [
        refusal(state, reason, {
          now: context.now,
          outcome: Outcome.Unknown,
        }),
      ]))
    .with(
      DispatchPhase.Streaming,
      () => cutRun(state, [{ kind: DispatchEffectKind.BreakStream }]),
    )
    .with(DispatchPhase.Ended, () => ({ state, effects: [] }))
    .exhaustive();
}

/** A try that waits for an earlier attempt did not run, but the request is running. */
function getWaitingOutcome(
  state: DispatchState,
): SettlementKind.NotRun | SettlementKind.Unknown {
  return state.joinsRun ? SettlementKind.Unknown : SettlementKind.NotRun;
}

function leaveRun(
  state: DispatchState,
  reason: RefusalReason,
  context: DispatchContext,
): DispatchStep {
  return end(state, [
    conclude(getWaitingOutcome(state), false),
    refusal(state, reason, { now: context.now, outcome: Outcome.Unknown }),
  ]);
}

function cutRun(
  state: DispatchState,
  effects: readonly DispatchEffect[],
): DispatchStep {
  return end(state, [
    { kind: DispatchEffectKind.CancelDispatch },
    report(state, DispatchResult.Broken),
    conclude(SettlementKind.Unknown, false),
    ...effects,
  ]);
}

function end(
  state: DispatchState,
  effects: readonly DispatchEffect[],
): DispatchStep {
  return { state: { ...state, phase: DispatchPhase.Ended }, effects };
}

function report(state: DispatchState, result: DispatchResult): DispatchEffect {
  return {
    kind: DispatchEffectKind.Report,
    result,
    dispatchedAt: state.dispatchedAt,
  };
}

function conclude(
  outcome:
    | SettlementKind.Finished
    | SettlementKind.NotRun
    | SettlementKind.Unknown,
  withAnswer: boolean,
): DispatchEffect {
  return { kind: DispatchEffectKind.Conclude, outcome, withAnswer };
}

function withReport(
  state: DispatchState,
  result: DispatchResult,
  step: DispatchStep,
): DispatchStep {
  return { ...step, effects: [report(state, result), ...step.effects] };
}

function refusal(
  state: DispatchState,
  reason: RefusalReason,
  options: {
    readonly now: number;
    readonly retryAt?: number;
    readonly outcome: Outcome;
  },
): DispatchEffect {
  return {
    kind: DispatchEffectKind.Refuse,
    refusal: {
      refusal: createRefusal(reason, options.outcome, options),
      keySettled: state.keySettled,
    },
  };
}

/** Passes on why the ledger does not let the call run. */
function refuseKey(
  state: DispatchState,
  refused: Extract<DispatchEvent, { kind: DispatchEventKind.KeyRefused }>,
  context: DispatchContext,
): DispatchStep {
  const { reason, mayHaveRun } = refused;
  // A key that belongs to another request shows that this one did not run.
  const keySettled = reason === RefusalReason.KeyMismatch;
  return end(state, [
    refusal({ ...state, keySettled }, reason, {
      now: context.now,
      outcome: mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
    }),
  ]);
}

/** Refuses a try that the ledger and the records have not seen, or are to know nothing of. */
function refuseNotRun(
  state: DispatchState,
  reason: RefusalReason,
  options: { readonly now: number; readonly retryAt?: number },
): DispatchStep {
  return end(state, [
    refusal(state, reason, { ...options, outcome: Outcome.NotRun }),
  ]);
}

function concludeNotRun(
  state: DispatchState,
  reason: RefusalReason,
  options: { readonly now: number; readonly retryAt?: number },
): DispatchStep {
  return end(state, [
    conclude(SettlementKind.NotRun, false),
    refusal(state, reason, { ...options, outcome: Outcome.NotRun }),
  ]);
}
