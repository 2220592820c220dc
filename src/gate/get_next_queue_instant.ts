import type { GateState } from "./gate_state.ts";
import { getRouteServiceMilliseconds } from "./get_route_service_milliseconds.ts";
import { getTokenWaitMilliseconds } from "./get_token_wait_milliseconds.ts";
import { isCold } from "./is_cold.ts";
import { listActiveBuckets } from "./list_active_buckets.ts";

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
  const tokenWait = Math.max(
    0,
    ...listActiveBuckets(state, now).map((bucket) =>
      getTokenWaitMilliseconds(bucket, { tokens: 1 })
    ),
  );
  // With a token left, the queue waits for a slot, whose release processes it.
  const nextToken = tokenWait > 0
    ? now + 1 + tokenWait
    : Number.POSITIVE_INFINITY;
  const coldEnd = isCold(state, now)
    ? state.coldUntil + 1
    : Number.POSITIVE_INFINITY;
  return Math.min(nextRefusal, nextToken, coldEnd);
}
