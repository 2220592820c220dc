import { AdmissionDecisionKind } from "../../src/admission/admission_decision_kind.ts";
import { DispatchResult } from "../../src/admission/dispatch_result.ts";
import { CallPriority } from "../../src/configuration/call_priority.ts";
import { beginCall } from "../../stand_ins/backend_server/begin_call.ts";
import { endCall } from "../../stand_ins/backend_server/end_call.ts";
import { getUsableSlots } from "../../stand_ins/backend_server/get_usable_slots.ts";
import type { SimulatedCall } from "./simulated_call.ts";
import type { AdmissionSimulation } from "./admission_simulation.ts";

const deadlineMilliseconds = 4000;

/** Sends a call to the node; the backend server receives it as soon as it is admitted. */
export function sendAdmissionCall(simulation: AdmissionSimulation): void {
  const { environment, node } = simulation;
  const now = environment.clock.now();
  const call: SimulatedCall = {
    callIdentifier: `call-${simulation.calls.length + 1}`,
    arrivedAt: now,
    refusalReason: undefined,
    startedAt: undefined,
    shed: false,
  };
  simulation.calls.push(call);
  node?.request({
    callIdentifier: call.callIdentifier,
    priority: CallPriority.Normal,
    deadline: now + deadlineMilliseconds,
  }, (decision) => {
    if (decision.kind === AdmissionDecisionKind.Refused) {
      call.refusalReason = decision.reason;
      return;
    }
    dispatch(simulation, call);
  });
}

function dispatch(simulation: AdmissionSimulation, call: SimulatedCall): void {
  const { environment, node } = simulation;
  const { callIdentifier } = call;
  const dispatchedAt = environment.clock.now();
  const excess = simulation.capacity.running + 1 -
    getUsableSlots(simulation.capacity);
  simulation.peakExcess = Math.max(simulation.peakExcess, excess);
  const start = beginCall(simulation.capacity, dispatchedAt);
  simulation.capacity = start.state;
  const reportEnd = (result: DispatchResult) =>
    node?.report({ callIdentifier, result, dispatchedAt });
  if (!start.admitted) {
    call.shed = true;
    environment.timers.at(
      dispatchedAt + 1,
      () => reportEnd(DispatchResult.Shed),
    );
    return;
  }
  call.startedAt = dispatchedAt;
  environment.timers.at(dispatchedAt + simulation.workMilliseconds, () => {
    simulation.capacity = endCall(simulation.capacity, true);
    reportEnd(DispatchResult.Answered);
  });
}
