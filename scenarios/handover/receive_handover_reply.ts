import type { HandoverTry } from "./handover_try.ts";
import type { HandoverWorld } from "./handover_world.ts";
import { stepHandoverCall } from "./step_handover_call.ts";

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
