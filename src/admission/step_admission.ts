import { match } from "ts-pattern";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionEvent } from "./admission_event.ts";
import { AdmissionEventKind } from "./admission_event_kind.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { AdmissionStep } from "./admission_step.ts";
import { continueStep } from "./continue_step.ts";
import { expireLingering } from "./expire_lingering.ts";
import { handleProbeAnswer } from "./handle_probe_answer.ts";
import { handleProbeFailure } from "./handle_probe_failure.ts";
import { handleReport } from "./handle_report.ts";
import { handleRequest } from "./handle_request.ts";
import { handleSnapshot } from "./handle_snapshot.ts";
import { handleWithdrawal } from "./handle_withdrawal.ts";
import { recordChanges } from "./record_changes.ts";
import { scheduleProbe } from "./schedule_probe.ts";
import { settleQueue } from "./settle_queue.ts";
import { trackRunning } from "./track_running.ts";

/**
 * Decides what follows from one event. The phases are: the event itself, slots
 * whose time is up, the queue, the next probe, and the audit entries.
 */
export function stepAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  context: AdmissionContext,
): AdmissionStep {
  const phases = [
    (next: AdmissionState) => handleEvent(next, event, context),
    (next: AdmissionState) =>
      withoutEffects(expireLingering(next, context.now)),
    (next: AdmissionState) => settleQueue(next, context),
    (next: AdmissionState) => withoutEffects(trackRunning(next)),
    (next: AdmissionState) => scheduleProbe(next, context),
  ];
  const step = phases.reduce<AdmissionStep>(
    continueStep,
    withoutEffects(state),
  );
  return {
    state: step.state,
    effects: [...recordChanges(state, step.state), ...step.effects],
  };
}

function handleEvent(
  state: AdmissionState,
  event: AdmissionEvent,
  context: AdmissionContext,
): AdmissionStep {
  return match(event)
    .with(
      { kind: AdmissionEventKind.Requested },
      ({ request }) => handleRequest(state, request, context),
    )
    .with(
      { kind: AdmissionEventKind.Withdrawn },
      ({ callIdentifier }) =>
        withoutEffects(handleWithdrawal(state, callIdentifier)),
    )
    .with(
      { kind: AdmissionEventKind.Unclaimed },
      ({ callIdentifier }) =>
        withoutEffects({
          ...state,
          running: state.running.filter((call) =>
            call.callIdentifier !== callIdentifier
          ),
        }),
    )
    .with(
      { kind: AdmissionEventKind.Reported },
      ({ report }) => withoutEffects(handleReport(state, report, context)),
    )
    .with(
      { kind: AdmissionEventKind.SnapshotApplied },
      ({ snapshot }) =>
        withoutEffects(handleSnapshot(state, snapshot, context)),
    )
    .with(
      { kind: AdmissionEventKind.ProbeAnswered },
      ({ probe }) => withoutEffects(handleProbeAnswer(state, probe, context)),
    )
    .with(
      { kind: AdmissionEventKind.ProbeFailed },
      () => withoutEffects(handleProbeFailure(state, context)),
    )
    .with(
      { kind: AdmissionEventKind.Started },
      () =>
        withoutEffects({
          ...state,
          probing: { ...state.probing, nextAt: context.now },
        }),
    )
    .with(
      { kind: AdmissionEventKind.DrainRequested },
      () => withoutEffects({ ...state, nodeDraining: true }),
    )
    .with(
      { kind: AdmissionEventKind.InstantReached },
      () => withoutEffects(state),
    )
    .exhaustive();
}

function withoutEffects(state: AdmissionState): AdmissionStep {
  return { state, effects: [] };
}
