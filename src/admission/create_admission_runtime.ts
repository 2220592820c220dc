import { match } from "ts-pattern";
import type { TimerHandle } from "../runtime/timer_handle.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import type { AdmissionDecision } from "./admission_decision.ts";
import { AdmissionDecisionKind } from "./admission_decision_kind.ts";
import type { AdmissionEffect } from "./admission_effect.ts";
import { AdmissionEffectKind } from "./admission_effect_kind.ts";
import type { AdmissionEvent } from "./admission_event.ts";
import { AdmissionEventKind } from "./admission_event_kind.ts";
import type { AdmissionRuntime } from "./admission_runtime.ts";
import type { AdmissionRuntimeOptions } from "./admission_runtime_options.ts";
import { createAdmissionPolicy } from "./create_admission_policy.ts";
import { createAdmissionState } from "./create_admission_state.ts";
import { getAdmissionStatus } from "./get_admission_status.ts";
import { getNextTimerInstant } from "./get_next_timer_instant.ts";
import { stepAdmission } from "./step_admission.ts";

/** Creates the runtime that feeds events to `stepAdmission` and executes the resulting effects. */
export function createAdmissionRuntime(
  options: AdmissionRuntimeOptions,
): AdmissionRuntime {
  const { environment, prober, settings } = options;
  const { auditTrail, clock, log, random, timers } = environment;
  const policy = options.policy ?? createAdmissionPolicy(settings);
  const pendingDecisions = new Map<
    string,
    (decision: AdmissionDecision) => void
  >();
  const events: AdmissionEvent[] = [];
  const drainResolvers: (() => void)[] = [];
  let state = createAdmissionState(settings);
  let isHandling = false;
  let isStopped = false;
  let timer: { readonly instant: number; readonly handle: TimerHandle } | null =
    null;

  /**
   * Queues an event and handles all queued events in order. Callbacks may add
   * events while one is handled.
   */
  function handleEvent(event: AdmissionEvent): void {
    events.push(event);
    if (isHandling) return;
    isHandling = true;
    try {
      // Effects may append to `events` during the loop, so array iteration
      // methods cannot be used.
      for (
        let next = events.shift();
        next !== undefined;
        next = events.shift()
      ) {
        const step = stepAdmission(state, next, {
          now: clock.now(),
          random,
          policy,
        });
        state = step.state;
        step.effects.forEach(runEffect);
      }
    } finally {
      isHandling = false;
    }
    updateTimer();
    resolveDrain();
  }

  function runEffect(effect: AdmissionEffect): void {
    match(effect)
      .with({ kind: AdmissionEffectKind.Decide }, (decide) => {
        const callback = pendingDecisions.get(decide.callIdentifier);
        pendingDecisions.delete(decide.callIdentifier);
        if (callback !== undefined) return callback(decide.decision);
        // The request was withdrawn after the decision was made.
        handleEvent({
          kind: AdmissionEventKind.Unclaimed,
          callIdentifier: decide.callIdentifier,
        });
      })
      .with({ kind: AdmissionEffectKind.Probe }, (probe) => {
        if (isStopped) return;
        void prober?.probe({ deadline: probe.deadline }).then((result) => {
          if (isStopped) return;
          if (result.isOk) {
            const probe = result.value;
            return handleEvent({
              kind: AdmissionEventKind.ProbeSucceeded,
              probe,
            });
          }
          log.debug({ diagnostic: result.error }, "Probe failed");
          handleEvent({ kind: AdmissionEventKind.ProbeFailed });
        });
      })
      .with(
        { kind: AdmissionEffectKind.RecordAuditEntry },
        ({ entry }) => auditTrail.record(entry),
      )
      .exhaustive();
  }

  /**
   * Sets the timer for the next instant. A timer that fires earlier is kept,
   * since handling its event sets the next one.
   */
  function updateTimer(): void {
    const instant = isStopped
      ? Number.POSITIVE_INFINITY
      : getNextTimerInstant(state, { policy });
    if (timer !== null && timer.instant <= instant) return;
    timer?.handle.cancel();
    timer = null;
    if (instant === Number.POSITIVE_INFINITY) return;
    const handle = timers.at(instant, () => {
      timer = null;
      handleEvent({ kind: AdmissionEventKind.InstantReached });
    });
    timer = { instant, handle };
  }

  function resolveDrain(): void {
    if (!state.nodeDraining || state.running.length > 0) return;
    drainResolvers.splice(0).forEach((resolve) => resolve());
  }

  return {
    start: () => handleEvent({ kind: AdmissionEventKind.Started }),
    request(request, decide) {
      if (pendingDecisions.has(request.callIdentifier)) {
        decide({
          kind: AdmissionDecisionKind.Refused,
          reason: RefusalReason.RequestInvalid,
          retryAt: clock.now() + policy.defaultRetryMilliseconds,
        });
        return;
      }
      pendingDecisions.set(request.callIdentifier, decide);
      handleEvent({ kind: AdmissionEventKind.Requested, request });
    },
    withdraw(callIdentifier) {
      pendingDecisions.delete(callIdentifier);
      handleEvent({ kind: AdmissionEventKind.Withdrawn, callIdentifier });
    },
    report: (report) =>
      handleEvent({ kind: AdmissionEventKind.Reported, report }),
    applySnapshot: (snapshot) =>
      handleEvent({ kind: AdmissionEventKind.SnapshotApplied, snapshot }),
    drain() {
      const drained = new Promise<void>((resolve) =>
        drainResolvers.push(resolve)
      );
      handleEvent({ kind: AdmissionEventKind.DrainRequested });
      return drained;
    },
    stop() {
      isStopped = true;
      // Refuses the queued calls, since no timer or probe runs after this to
      // decide on them.
      handleEvent({ kind: AdmissionEventKind.DrainRequested });
      timer?.handle.cancel();
      timer = null;
    },
    getStatus: () => getAdmissionStatus(state, clock.now()),
  };
}
