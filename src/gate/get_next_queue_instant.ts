import type { GateState } from "./gate_state.ts";
import { getRouteServiceMilliseconds } from "./get_route_service_milliseconds.ts";
import { isCold } from "./is_cold.ts";

const millisecondsPerSecond = 1_000;

/**
 * Returns the instant at which the queue must be processed again even if no
 * call arrives or ends: the next refusal, cold start token or end of the cold
 * start. Returns infinity for an empty queue.
 */
export function getNextQueueInstant(state: GateState, now: number): number {
  if (state.queue.length === 0) return Number.POSITIVE_INFINITY;
  // A queued call is refused once less than half of its service time remains before its deadline.
  const nextRefusal = Math.min(
    ...state.queue.map(({ request }) =>
      Math.min(
        request.waitDeadline,
        request.deadline -
          getRouteServiceMilliseconds(state, request.route) / 2,
      )
    ),
  ) + 1;
  if (!isCold(state, now)) return nextRefusal;
  const missingTokens = Math.max(0, 1 - state.coldTokens);
  const nextToken = now + 1 + missingTokens * millisecondsPerSecond /
      Math.max(1, state.coldCallsPerSecond);
  return Math.min(nextRefusal, nextToken, state.coldUntil + 1);
}
