import type { GateState } from "./gate_state.ts";
import { getWorkMilliseconds } from "./get_work_milliseconds.ts";
import { isCold } from "./is_cold.ts";

const millisecondsPerSecond = 1_000;

/** Returns when the queue must be looked at again although nothing happens; infinity for an empty queue. */
export function getNextGateInstant(state: GateState, now: number): number {
  if (state.queue.length === 0) return Number.POSITIVE_INFINITY;
  const nextRefusal = Math.min(
    ...state.queue.map(({ request }) =>
      Math.min(
        request.waitDeadline,
        request.deadline - getWorkMilliseconds(state, request.route) / 2,
      )
    ),
  ) + 1;
  if (!isCold(state, now)) return nextRefusal;
  const missing = Math.max(0, 1 - state.coldTokens);
  const nextToken = now + 1 + missing * millisecondsPerSecond /
      Math.max(1, state.coldCallsPerSecond);
  return Math.min(nextRefusal, nextToken, state.coldUntil + 1);
}
