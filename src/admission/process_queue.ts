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

/** Admits queued calls to the free slots and refuses those that should not wait. */
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

/** Refuses calls whose deadline has passed. */
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

/**
 * Refuses calls beyond the length of the queue and calls that cannot meet their
 * deadline. While the backend server is down, no call waits.
 */
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
 * Returns whether a queued call is expected to start early enough to meet its
 * deadline. This is not checked for calls that get a free slot, so that a service
 * time estimate that has become too long can decrease again.
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
  if (context.policy.queueOrder === QueueOrder.FirstInFirstOut) return true;
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
