import type { GateState } from "./gate_state.ts";

/**
 * Whether a caller has more calls at the backend server than an equal part of
 * its slots. Callers that have or want a slot now share them; what some of them
 * do not use goes to the others, since a free slot is never withheld.
 */
export function exceedsShare(state: GateState, shareKey: string): boolean {
  const runningKeys = Array.from(state.running.values())
    .map((call) => call.shareKey);
  const activeKeys = new Set([
    ...runningKeys,
    ...state.queue.map(({ request }) => request.shareKey),
  ]);
  const used = runningKeys.filter((key) => key === shareKey).length;
  return used > Math.ceil(state.slots / Math.max(1, activeKeys.size));
}
