import { AdmissionDecisionKind } from "../../src/admission/admission_decision_kind.ts";
import { DispatchResult } from "../../src/admission/dispatch_result.ts";
import { CallPriority } from "../../src/configuration/call_priority.ts";
import { beginCall } from "../../stand_ins/backend_server/begin_call.ts";
import { endCall } from "../../stand_ins/backend_server/end_call.ts";
import { getBearableSlots } from "../../stand_ins/backend_server/get_bearable_slots.ts";
import type { AdmissionArrival } from "./simulated_call.ts";
import type { AdmissionWorld } from "./admission_simulation.ts";

const deadlineMilliseconds = 4000;

/** Lets one call arrive at the node; where it is admitted, it goes to the backend server at once. */
export function sendAdmissionCall(world: AdmissionWorld): void {
  const { environment, node } = world;
  const now = environment.clock.now();
  const arrival: AdmissionArrival = {
    callIdentifier: `call-${world.arrivals.length + 1}`,
    arrivedAt: now,
    refusedFor: undefined,
    begunAt: undefined,
    shed: false,
  };
  world.arrivals.push(arrival);
  node?.request({
    callIdentifier: arrival.callIdentifier,
    priority: CallPriority.Normal,
    deadline: now + deadlineMilliseconds,
  }, (decision) => {
    if (decision.kind === AdmissionDecisionKind.Refused) {
      arrival.refusedFor = decision.reason;
      return;
    }
    dispatch(world, arrival);
  });
}

function dispatch(world: AdmissionWorld, arrival: AdmissionArrival): void {
  const { environment, node } = world;
  const { callIdentifier } = arrival;
  const dispatchedAt = environment.clock.now();
  const excess = world.capacity.running + 1 - getBearableSlots(world.capacity);
  world.peakExcess = Math.max(world.peakExcess, excess);
  const begin = beginCall(world.capacity, dispatchedAt);
  world.capacity = begin.state;
  const end = (result: DispatchResult) =>
    node?.report({ callIdentifier, result, dispatchedAt });
  if (!begin.taken) {
    arrival.shed = true;
    environment.timers.at(dispatchedAt + 1, () => end(DispatchResult.Shed));
    return;
  }
  arrival.begunAt = dispatchedAt;
  environment.timers.at(dispatchedAt + world.workMilliseconds, () => {
    world.capacity = endCall(world.capacity, true);
    end(DispatchResult.Answered);
  });
}
