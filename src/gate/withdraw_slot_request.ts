import type { GateState } from "./gate_state.ts";

/** Takes a waiting call out of the queue. */
export function withdrawSlotRequest(
  state: GateState,
  callIdentifier: string,
): void {
  state.queue = state.queue.filter(({ request }) =>
    request.callIdentifier !== callIdentifier
  );
}
