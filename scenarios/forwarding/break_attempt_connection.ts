import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import type { ForwardedAttempt } from "./forwarded_attempt.ts";
import type { ForwardingSimulation } from "./forwarding_simulation.ts";
import { stepForwardedCall } from "./step_forwarded_call.ts";

/** Breaks the connection of the current attempt, as the node that received the call observes it. */
export function breakAttemptConnection(
  simulation: ForwardingSimulation,
  attempt: ForwardedAttempt,
): void {
  if (attempt.connected && simulation.attempts.at(-1) === attempt) {
    attempt.connected = false;
    stepForwardedCall(simulation, { kind: CallEventKind.ContactLost });
  }
}
