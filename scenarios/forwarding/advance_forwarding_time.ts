import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import type { ForwardingSimulation } from "./forwarding_simulation.ts";
import { stepForwardedCall } from "./step_forwarded_call.ts";

/** Moves the clock; the node that took the call wakes where it had asked to. */
export function advanceForwardingTime(
  simulation: ForwardingSimulation,
  milliseconds: number,
): void {
  const until = simulation.now + milliseconds;
  const wakeAt = Math.max(
    simulation.now,
    Math.min(until, simulation.call.wakeAt),
  );
  const firesTimer = simulation.call.wakeAt <= until;
  simulation.now = firesTimer ? wakeAt : until;
  if (firesTimer) {
    const previousWakeAt = simulation.call.wakeAt;
    stepForwardedCall(simulation, { kind: CallEventKind.Woke });
    if (simulation.call.wakeAt > previousWakeAt) {
      advanceForwardingTime(simulation, until - simulation.now);
      return;
    }
  }
  simulation.now = until;
}
