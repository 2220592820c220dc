import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import type { HandoverWorld } from "./forwarding_simulation.ts";
import { stepHandoverCall } from "./step_forwarded_call.ts";

/** Moves the clock; the node that took the call wakes where it had asked to. */
export function passHandoverTime(
  world: HandoverWorld,
  milliseconds: number,
): void {
  const until = world.now + milliseconds;
  const wakeAt = Math.max(world.now, Math.min(until, world.call.wakeAt));
  const wakes = world.call.wakeAt <= until;
  world.now = wakes ? wakeAt : until;
  if (wakes) {
    const before = world.call.wakeAt;
    stepHandoverCall(world, { kind: CallEventKind.Woke });
    if (world.call.wakeAt > before) {
      passHandoverTime(world, until - world.now);
      return;
    }
  }
  world.now = until;
}
