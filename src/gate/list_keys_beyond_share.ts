import type { GateState } from "./gate_state.ts";

/**
 * Lists the callers that run more calls at the backend server than an equal part
 * of its slots. Callers that have or want a slot now share them; what some of
 * them do not use goes to the others, since a free slot is never withheld.
 */
export function listKeysBeyondShare(state: GateState): ReadonlySet<string> {
  const runningKeys = Array.from(state.running.values())
    .map((call) => call.shareKey);
  const activeKeys = new Set([
    ...runningKeys,
    ...state.queue.map(({ request }) => request.shareKey),
  ]);
  const share = Math.ceil(state.slots / Math.max(1, activeKeys.size));
  const runningCounts = countValues(runningKeys);
  return new Set(
    Array.from(runningCounts)
      .filter(([, running]) => running > share)
      .map(([key]) => key),
  );
}

function countValues(values: readonly string[]): ReadonlyMap<string, number> {
  return values.reduce(
    (counts, value) => counts.set(value, (counts.get(value) ?? 0) + 1),
    new Map<string, number>(),
  );
}
