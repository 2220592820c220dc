import type { ForwardedAttempt } from "./forwarded_attempt.ts";
import type { ForwardingSimulation } from "./forwarding_simulation.ts";
import { stepForwardedCall } from "./step_forwarded_call.ts";

/** Delivers the next reply to the current attempt; a reply over a broken connection or to an earlier attempt is lost. */
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
