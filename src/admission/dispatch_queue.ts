import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { AdmissionStep } from "./admission_step.ts";
import { createAdmitEffect } from "./create_admit_effect.ts";
import { getFreeSlots } from "./get_free_slots.ts";
import { getOccupiedSlots } from "./get_occupied_slots.ts";

/** Admits calls from the head of the queue to the free slots. */
export function dispatchQueue(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionStep {
  const admitted = state.queue.slice(0, getFreeSlots(state, context.now));
  if (admitted.length === 0) return { state, effects: [] };
  const occupied = getOccupiedSlots(state);
  const running = admitted.map(({ request }, position) => ({
    callIdentifier: request.callIdentifier,
    admittedAt: context.now,
    deadline: request.deadline,
    occupiedSlots: occupied + position + 1,
  }));
  const dispatched = {
    ...state,
    queue: state.queue.slice(admitted.length),
    running: [...state.running, ...running],
  };
  return {
    state: state.backendServerState === BackendServerState.Down
      ? postponeTrialCall(dispatched, context.now)
      : dispatched,
    effects: running.map((call) => createAdmitEffect(call.callIdentifier)),
  };
}

/** Postpones the next trial call by the backoff, so that no second one is sent in the meantime. */
function postponeTrialCall(state: AdmissionState, now: number): AdmissionState {
  const trialAt = now + state.reachability.backoffMilliseconds;
  return { ...state, reachability: { ...state.reachability, trialAt } };
}
