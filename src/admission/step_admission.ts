import { match } from "ts-pattern";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionEvent } from "./admission_event.ts";
import { AdmissionEventKind } from "./admission_event_kind.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { AdmissionStep } from "./admission_step.ts";
import { runPhase } from "./run_phase.ts";
import { expireLingeringSlots } from "./expire_lingering_slots.ts";
import { handleProbeSuccess } from "./handle_probe_success.ts";
import { handleProbeFailure } from "./handle_probe_failure.ts";
import { handleReport } from "./handle_report.ts";
import { handleRequest } from "./handle_request.ts";
import { handleSnapshot } from "./handle_snapshot.ts";
import { handleWithdrawal } from "./handle_withdrawal.ts";
import { createAuditEffects } from "./create_audit_effects.ts";
import { sendDueProbe } from "./send_due_probe.ts";
import { processQueue } from "./process_queue.ts";
import { recordMinimumRunning } from "./record_minimum_running.ts";

/**
 * Computes the next state and the effects of one event. The phases are: handle
 * the event, expire lingering slots, process the queue, record the minimum of
 * running calls, send a due probe, and create the audit entries.
 */
export function stepAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  context: AdmissionContext,
): AdmissionStep {
  const phases = [
    (next: AdmissionState) => handleEvent(next, event, context),
    (next: AdmissionState) =>
      withoutEffects(expireLingeringSlots(next, context.now)),
    (next: AdmissionState) => processQueue(next, context),
    (next: AdmissionState) => withoutEffects(recordMinimumRunning(next)),
    (next: AdmissionState) => sendDueProbe(next, context),
  ];
  const step = phases.reduce<AdmissionStep>(
    runPhase,
    withoutEffects(state),
  );
  return {
    state: step.state,
    effects: [...createAuditEffects(state, step.state), ...step.effects],
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
      { kind: AdmissionEventKind.ProbeSucceeded },
      ({ probe }) => withoutEffects(handleProbeSuccess(state, probe, context)),
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
