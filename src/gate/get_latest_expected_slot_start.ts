import { expectedWaitShareMaximum } from "./expected_wait_share_maximum.ts";
import type { GateState } from "./gate_state.ts";
import { getLatestStart } from "./get_latest_start.ts";
import { getRouteServiceMilliseconds } from "./get_route_service_milliseconds.ts";
import type { SlotRequest } from "./slot_request.ts";

/**
 * Returns the instant by which a slot must be expected to be free for a call to
 * be queued. A call whose refusal wastes other work, or that comes in a short
 * burst, may be expected to wait as long as it may wait at all. A burst is over once
 * calls have been queued for a service time.
 */
export function getLatestExpectedSlotStart(
  state: GateState,
  request: SlotRequest,
  { now }: { readonly now: number },
): number {
  const latestStart = getLatestStart(state, request);
  const isBurst = now - state.queuedSince < state.serviceMilliseconds;
  if (request.isNested || !request.mayComeBack || isBurst) return latestStart;
  const latestGoalStart = request.goalDeadline -
    getRouteServiceMilliseconds(state, request.route);
  const slackMilliseconds = Math.max(latestGoalStart, latestStart) - now;
  return Math.min(
    latestStart,
    now + slackMilliseconds * expectedWaitShareMaximum,
  );
}
