import type { GateState } from "./gate_state.ts";

/** Removes a call from the queue of a gate, if it is queued. */
export function cancelSlotRequest(
  state: GateState,
  offerIdentifier: string,
): void {
  state.queue = state.queue.filter(({ request }) =>
    request.offerIdentifier !== offerIdentifier
  );
  if (state.queue.length === 0) state.queuedSince = Number.POSITIVE_INFINITY;
}
