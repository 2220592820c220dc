import type { HandoverTry } from "./forwarded_attempt.ts";
import type { HandoverWorld } from "./forwarding_simulation.ts";
import { stepHandoverCall } from "./step_forwarded_call.ts";

/** Lets the next reply of a try arrive, unless its connection is gone. */
export function receiveHandoverReply(
  world: HandoverWorld,
  one: HandoverTry,
): void {
  one.replies.splice(0, 1).forEach((reply) => {
    if (one.connected && world.tries.at(-1) === one) {
      stepHandoverCall(world, reply);
    }
  });
}
