import type { GateState } from "./gate_state.ts";
import { getLatestStart } from "./get_latest_start.ts";
import { getRouteServiceMilliseconds } from "./get_route_service_milliseconds.ts";
import type { SlotRequest } from "./slot_request.ts";

/**
 * Share of the time that a call may wait for which it is expected to wait at
 * most. Service times vary, so a call that is expected to wait for all of this
 * time is often refused after it, when the caller has little time left for
 * another attempt.
 */
const expectedWaitShareMaximum = 1 / 3;

/**
 * Returns the instant by which a slot must be expected to be free for a call
 * to be queued. A call whose refusal wastes other work may be expected to wait as long
 * as it may wait at all.
 */
export function getLatestExpectedSlotStart(
  state: GateState,
  request: SlotRequest,
  { now }: { readonly now: number },
): number {
  const latestStart = getLatestStart(state, request);
  if (request.isNested || !request.mayComeBack) return latestStart;
  const latestGoalStart = request.goalDeadline -
    getRouteServiceMilliseconds(state, request.route);
  const slackMilliseconds = Math.max(latestGoalStart, latestStart) - now;
  return Math.min(
    latestStart,
    now + slackMilliseconds * expectedWaitShareMaximum,
  );
}
