import { RefusalReason } from "../calls/refusal_reason.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { AdmissionStep } from "./admission_step.ts";
import { continueStep } from "./continue_step.ts";
import { dispatchQueue } from "./dispatch_queue.ts";
import { getClosedReason } from "./get_closed_reason.ts";
import { getFullReason } from "./get_full_reason.ts";
import { getLatestStart } from "./get_latest_start.ts";
import { getExpectedWait } from "./get_expected_wait.ts";
import type { QueuedCall } from "./queued_call.ts";
import { refuseCalls } from "./refuse_calls.ts";

/** Admits the queued calls that find a slot and refuses at once those that had better not wait. */
export function settleQueue(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionStep {
  if (state.queue.length === 0) return { state, effects: [] };
  const closed = getClosedReason(state);
  if (closed !== undefined) {
    return refuseQueued(state, { calls: state.queue, reason: closed, context });
  }
  const phases = [refusePassed, refuseLate, dispatchQueue, refuseWaiting];
  return phases.reduce<AdmissionStep>(
    (step, phase) => continueStep(step, (next) => phase(next, context)),
    { state, effects: [] },
  );
}

function refusePassed(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionStep {
  return refuseQueued(state, {
    calls: state.queue.filter((call) => call.request.deadline <= context.now),
    reason: RefusalReason.DeadlinePassed,
    context,
  });
}

function refuseLate(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionStep {
  return refuseQueued(state, {
    calls: state.queue.filter((call) =>
      getLatestStart(state, call) < context.now
    ),
    reason: getFullReason(state),
    context,
  });
}

/** Refuses what the queue is too short for, and what would wait too long in it. */
function refuseWaiting(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionStep {
  const isDown = state.backendServerState === BackendServerState.Down;
  const isHeld = (call: QueuedCall, position: number) =>
    !isDown && position < context.policy.queuedCalls &&
    context.now + getExpectedWait(state, position) <=
      getLatestStart(state, call);
  return refuseQueued(state, {
    calls: state.queue.filter((call, position) => !isHeld(call, position)),
    reason: getFullReason(state),
    context,
  });
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
