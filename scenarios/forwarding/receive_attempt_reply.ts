import type { ForwardedAttempt } from "./forwarded_attempt.ts";
import type { ForwardingSimulation } from "./forwarding_simulation.ts";
import { stepForwardedCall } from "./step_forwarded_call.ts";

/** Lets the next reply of a try arrive, unless its connection is gone. */
export function receiveAttemptReply(
  simulation: ForwardingSimulation,
  attempt: ForwardedAttempt,
): void {
  attempt.replies.splice(0, 1).forEach((reply) => {
    if (attempt.connected && simulation.attempts.at(-1) === attempt) {
      stepForwardedCall(simulation, reply);
    }
  });
}
