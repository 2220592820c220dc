import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import type { ForwardingSimulation } from "./forwarding_simulation.ts";
import { stepForwardedCall } from "./step_forwarded_call.ts";

/** Advances the clock and fires the timer of the node that received the call when it is due. */
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
    stepForwardedCall(simulation, { kind: CallEventKind.TimerFired });
    // A timer that was not rescheduled must not fire again.
    if (simulation.call.wakeAt > previousWakeAt) {
      advanceForwardingTime(simulation, until - simulation.now);
      return;
    }
  }
  simulation.now = until;
}
