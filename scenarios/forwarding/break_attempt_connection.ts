import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import type { HandoverTry } from "./forwarded_attempt.ts";
import type { HandoverWorld } from "./forwarding_simulation.ts";
import { stepHandoverCall } from "./step_forwarded_call.ts";

/** Breaks the connection of a try, as the node that took the call sees it. */
export function loseHandoverContact(
  world: HandoverWorld,
  one: HandoverTry,
): void {
  if (one.connected && world.tries.at(-1) === one) {
    one.connected = false;
    stepHandoverCall(world, { kind: CallEventKind.ContactLost });
  }
}
