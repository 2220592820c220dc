import { match } from "ts-pattern";
import { DispatchResult } from "../admission/dispatch_result.ts";
import { prependReport } from "./dispatch/prepend_report.ts";
import { refuseAndRecord } from "./dispatch/refuse_and_record.ts";
import { createOutcomeRecord } from "./dispatch/create_outcome_record.ts";
import { createReport } from "./dispatch/create_report.ts";
import { endDispatch } from "./dispatch/end_dispatch.ts";
import { abortDispatch } from "./dispatch/abort_dispatch.ts";
import { queueDispatch } from "./dispatch/queue_dispatch.ts";
import { handleKeyRefusal } from "./dispatch/handle_key_refusal.ts";
import { handleAdmission } from "./dispatch/handle_admission.ts";
import { handleArrival } from "./dispatch/handle_arrival.ts";
import { handleBrokenAnswer } from "./dispatch/handle_broken_answer.ts";
import { handleDisconnect } from "./dispatch/handle_disconnect.ts";
import { handleDispatchTimer } from "./dispatch/handle_dispatch_timer.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import { DispatchEffectKind } from "./dispatch_effect_kind.ts";
import type { DispatchEvent } from "./dispatch_event.ts";
import { DispatchEventKind } from "./dispatch_event_kind.ts";
import { DispatchPhase } from "./dispatch_phase.ts";
import type { DispatchState } from "./dispatch_state.ts";
import type { DispatchStep } from "./dispatch_step.ts";
import { RefusalReason } from "./refusal_reason.ts";
import { SettlementKind } from "./settlement_kind.ts";

/**
 * How long a run that is not idempotent continues after its connection closed.
 * If the node of the caller lost only the connection, it queries the outcome
 * within this time; otherwise the run is cancelled.
 */
const graceMilliseconds = 200;

/**
 * Like `graceMilliseconds`, once the outcome was queried: the next query is
 * received within this time.
 */
const queriedGraceMilliseconds = 1000;

/**
 * Returns the state of an attempt on the node beside its backend server after
 * an event, and the effects to perform.
 *
 * Invariants: the effect to dispatch is returned at most once, before the
 * deadline and after the ledger allowed the key; every admission is followed by
 * exactly one report; a refusal states "not-run" only if the attempt was not
 * dispatched or the backend server showed that it did not begin.
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
      ({ refusalReason: reason }) => handleArrival(state, reason, context),
    )
    .with(
      { kind: DispatchEventKind.KeyAllowed },
      () => queueDispatch({ ...state, keySettled: true }, context),
    )
    .with({ kind: DispatchEventKind.KeyJoined }, () => ({
      state: { ...state, joinsRun: true },
      effects: [],
    }))
    .with(
      { kind: DispatchEventKind.KeyAnswered },
      ({ answer }) =>
        endDispatch(state, [{
          kind: DispatchEffectKind.SendStoredAnswer,
          answer,
        }]),
    )
    .with(
      { kind: DispatchEventKind.KeyRefused },
      (refusal) => handleKeyRefusal(state, refusal, context),
    )
    .with(
      { kind: DispatchEventKind.Admitted },
      () => handleAdmission(state, context),
    )
    .with(
      { kind: DispatchEventKind.AdmissionRefused },
      ({ reason, retryAt }) =>
        refuseAndRecord(state, reason, { now: context.now, retryAt }),
    )
    .with(
      { kind: DispatchEventKind.AnswerCompleted },
      ({ overloaded }) =>
        endDispatch(state, [
          createReport(
            state,
            overloaded ? DispatchResult.Shed : DispatchResult.Answered,
          ),
          createOutcomeRecord(SettlementKind.Finished, true),
          { kind: DispatchEffectKind.SendAnswer },
        ]),
    )
    .with({ kind: DispatchEventKind.StreamStarted }, () => ({
      state: {
        ...state,
        phase: DispatchPhase.Streaming,
        interimResponseAt: Infinity,
      },
      effects: [{ kind: DispatchEffectKind.BeginStream } as const],
    }))
    .with({ kind: DispatchEventKind.StreamEnded }, () =>
      endDispatch(state, [
        createReport(state, DispatchResult.Answered),
        createOutcomeRecord(SettlementKind.Finished, false),
        { kind: DispatchEffectKind.EndStream },
      ]))
    .with({ kind: DispatchEventKind.Shed }, ({ retryAt }) => {
      const step = refuseAndRecord(state, RefusalReason.Full, {
        now: context.now,
        retryAt,
      });
      return prependReport(state, DispatchResult.Shed, step);
    })
    .with({ kind: DispatchEventKind.NotConnected }, () => {
      const step = refuseAndRecord(state, RefusalReason.BackendServerDown, {
        now: context.now,
      });
      return prependReport(state, DispatchResult.ConnectionRefused, step);
    })
    .with(
      { kind: DispatchEventKind.Broken },
      () => handleBrokenAnswer(state, context),
    )
    .with(
      { kind: DispatchEventKind.ContactLost },
      () => handleDisconnect(state, context, { graceMilliseconds }),
    )
    .with(
      { kind: DispatchEventKind.CallerLeft },
      () => handleDisconnect(state, context, { graceMilliseconds: 0 }),
    )
    .with({ kind: DispatchEventKind.OutcomeQueried }, () => ({
      state: state.cancelAt === Infinity
        ? state
        : { ...state, cancelAt: context.now + queriedGraceMilliseconds },
      effects: [],
    }))
    .with(
      { kind: DispatchEventKind.TimerFired },
      () => handleDispatchTimer(state, context),
    )
    .with(
      { kind: DispatchEventKind.Stopped },
      () => abortDispatch(state, RefusalReason.NodeDraining, context),
    )
    .exhaustive();
}
