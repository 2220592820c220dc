import { RefusalReason } from "../calls/refusal_reason.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionRequest } from "./admission_request.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { AdmissionStep } from "./admission_step.ts";
import { compareQueuedCalls } from "./compare_queued_calls.ts";
import { refuseCalls } from "./refuse_calls.ts";

/**
 * Inserts a call into the queue in order. Later phases of the step admit it,
 * refuse it or leave it in the queue.
 */
export function handleRequest(
  state: AdmissionState,
  request: AdmissionRequest,
  context: AdmissionContext,
): AdmissionStep {
  const isDuplicate =
    state.running.some((call) =>
      call.callIdentifier === request.callIdentifier
    ) ||
    state.queue.some((call) =>
      call.request.callIdentifier === request.callIdentifier
    );
  if (isDuplicate) {
    return refuseCalls(state, [request.callIdentifier], {
      reason: RefusalReason.RequestInvalid,
      context,
    });
  }
  const queue = [
    ...state.queue,
    { request, sequence: state.nextSequence },
  ].sort((left, right) =>
    compareQueuedCalls(left, right, { order: context.policy.queueOrder })
  );
  return {
    state: { ...state, queue, nextSequence: state.nextSequence + 1 },
    effects: [],
  };
}
