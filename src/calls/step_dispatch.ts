import { match } from "ts-pattern";
import { DispatchResult } from "../admission/dispatch_result.ts";
import { addReport } from "./dispatch/add_report.ts";
import { concludeNotRun } from "./dispatch/conclude_not_run.ts";
import { createConclusion } from "./dispatch/create_conclusion.ts";
import { createReport } from "./dispatch/create_report.ts";
import { endDispatch } from "./dispatch/end_dispatch.ts";
import { giveUpDispatch } from "./dispatch/give_up_dispatch.ts";
import { queueDispatch } from "./dispatch/queue_dispatch.ts";
import { refuseKey } from "./dispatch/refuse_key.ts";
import { takeAdmission } from "./dispatch/take_admission.ts";
import { takeArrival } from "./dispatch/take_arrival.ts";
import { takeBrokenAnswer } from "./dispatch/take_broken_answer.ts";
import { takeCallerLeaving } from "./dispatch/take_caller_leaving.ts";
import { wakeDispatch } from "./dispatch/wake_dispatch.ts";
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
      ({ obstacle }) => takeArrival(state, obstacle, context),
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
      (refused) => refuseKey(state, refused, context),
    )
    .with(
      { kind: DispatchEventKind.Admitted },
      () => takeAdmission(state, context),
    )
    .with(
      { kind: DispatchEventKind.AdmissionRefused },
      ({ reason, retryAt }) =>
        concludeNotRun(state, reason, { now: context.now, retryAt }),
    )
    .with(
      { kind: DispatchEventKind.AnswerWhole },
      ({ overloaded }) =>
        endDispatch(state, [
          createReport(
            state,
            overloaded ? DispatchResult.Shed : DispatchResult.Answered,
          ),
          createConclusion(SettlementKind.Finished, true),
          { kind: DispatchEffectKind.SendAnswer },
        ]),
    )
    .with({ kind: DispatchEventKind.AnswerStreams }, () => ({
      state: { ...state, phase: DispatchPhase.Streaming, signAt: Infinity },
      effects: [{ kind: DispatchEffectKind.BeginStream } as const],
    }))
    .with({ kind: DispatchEventKind.StreamEnded }, () =>
      endDispatch(state, [
        createReport(state, DispatchResult.Answered),
        createConclusion(SettlementKind.Finished, false),
        { kind: DispatchEffectKind.EndStream },
      ]))
    .with({ kind: DispatchEventKind.Shed }, ({ retryAt }) => {
      const step = concludeNotRun(state, RefusalReason.Full, {
        now: context.now,
        retryAt,
      });
      return addReport(state, DispatchResult.Shed, step);
    })
    .with({ kind: DispatchEventKind.NotConnected }, () => {
      const step = concludeNotRun(state, RefusalReason.BackendServerDown, {
        now: context.now,
      });
      return addReport(state, DispatchResult.ConnectionRefused, step);
    })
    .with(
      { kind: DispatchEventKind.Broken },
      () => takeBrokenAnswer(state, context),
    )
    .with(
      { kind: DispatchEventKind.ContactLost },
      () => takeCallerLeaving(state, context, { graceMilliseconds }),
    )
    .with(
      { kind: DispatchEventKind.CallerLeft },
      () => takeCallerLeaving(state, context, { graceMilliseconds: 0 }),
    )
    .with({ kind: DispatchEventKind.Asked }, () => ({
      state: state.cancelAt === Infinity
        ? state
        : { ...state, cancelAt: context.now + askedGraceMilliseconds },
      effects: [],
    }))
    .with({ kind: DispatchEventKind.Woke }, () => wakeDispatch(state, context))
    .with(
      { kind: DispatchEventKind.Stopped },
      () => giveUpDispatch(state, RefusalReason.NodeDraining, context),
    )
    .exhaustive();
}
