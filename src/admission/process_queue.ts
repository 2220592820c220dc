import { RefusalReason } from "../calls/refusal_reason.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { AdmissionStep } from "./admission_step.ts";
import { runPhase } from "./run_phase.ts";
import { dispatchQueue } from "./dispatch_queue.ts";
import { getUnavailableReason } from "./get_unavailable_reason.ts";
import { getNoSlotReason } from "./get_no_slot_reason.ts";
import { getLatestStart } from "./get_latest_start.ts";
import { getExpectedWait } from "./get_expected_wait.ts";
import { QueueOrder } from "./queue_order.ts";
import type { QueuedCall } from "./queued_call.ts";
import { refuseCalls } from "./refuse_calls.ts";

/** Admits the queued calls that find a slot and refuses at once those that had better not wait. */
export function processQueue(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionStep {
  if (state.queue.length === 0) return { state, effects: [] };
  const unavailableReason = getUnavailableReason(state);
  if (unavailableReason !== undefined) {
    return refuseQueued(state, {
      calls: state.queue,
      reason: unavailableReason,
      context,
    });
  }
  const phases = [refuseExpired, dispatchQueue, refuseUnservable];
  return phases.reduce<AdmissionStep>(
    (step, phase) => runPhase(step, (next) => phase(next, context)),
    { state, effects: [] },
  );
}

function refuseExpired(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionStep {
  return refuseQueued(state, {
    calls: state.queue.filter((call) => call.request.deadline <= context.now),
    reason: RefusalReason.DeadlinePassed,
    context,
  });
}

/** Refuses what the queue is too short for, and what would wait too long in it. */
function refuseUnservable(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionStep {
  const kept = state.backendServerState === BackendServerState.Down
    ? []
    : state.queue.reduce<readonly QueuedCall[]>(
      (ahead, call) =>
        ahead.length < context.policy.queuedCalls &&
          canStartInTime(state, { call, position: ahead.length, context })
          ? [...ahead, call]
          : ahead,
      [],
    );
  return refuseQueued(state, {
    calls: state.queue.filter((call) => !kept.includes(call)),
    reason: getNoSlotReason(state),
    context,
  });
}

/**
 * Tells whether a queued call can start so early that it ends in time. A free
 * slot takes any call, however long calls have taken of late, so that a service
 * time that has become too long can be unlearnt.
 */
function canStartInTime(
  state: AdmissionState,
  options: {
    readonly call: QueuedCall;
    readonly position: number;
    readonly context: AdmissionContext;
  },
): boolean {
  const { call, context, position } = options;
  if (context.policy.queueOrder === QueueOrder.FirstCome) return true;
  return context.now + getExpectedWait(state, position) <=
    getLatestStart(state, call);
}

function refuseQueued(
  state: AdmissionState,
  options: {
    readonly calls: readonly QueuedCall[];
    readonly reason: RefusalReason;
    readonly context: AdmissionContext;
  },
): AdmissionStep {
  if (options.calls.length === 0) return { state, effects: [] };
  const queue = state.queue.filter((call) => !options.calls.includes(call));
  return refuseCalls(
    { ...state, queue },
    options.calls.map((call) => call.request.callIdentifier),
    options,
  );
}
