import { RefusalReason } from "../calls/refusal_reason.ts";
import { canStart } from "./can_start.ts";
import { compareQueuedRequests } from "./compare_queued_requests.ts";
import type { GateState } from "./gate_state.ts";
import { getExpectedWaitMilliseconds } from "./get_expected_wait_milliseconds.ts";
import { getFullReason } from "./get_full_reason.ts";
import { getLatestStart } from "./get_latest_start.ts";
import { getRouteServiceMilliseconds } from "./get_route_service_milliseconds.ts";
import { listKeysBeyondShare } from "./list_keys_beyond_share.ts";
import { occupySlot } from "./occupy_slot.ts";
import type { QueueResult } from "./queue_result.ts";
import type { QueuedSlotRequest } from "./queued_slot_request.ts";
import { ServerCondition } from "./server_condition.ts";

/** Share of the service time that must remain before the deadline for a call to be started. */
const remainingServiceShareMinimum = 0.5;

/**
 * Grants free slots to queued calls in order, and refuses at once those that
 * can no longer be served in time.
 */
export function processGateQueue(
  state: GateState,
  now: number,
): QueueResult {
  const unservable = removeFromQueue(
    state,
    (queued) => isUnservable(state, queued, now),
  );
  sortQueue(state, now);
  const granted = grantFreeSlots(state, now);
  const overtaken = removeFromQueue(
    state,
    ({ request }, index) =>
      now + getExpectedWaitMilliseconds(state, { ahead: index, now }) >
        getLatestStart(state, request),
  );
  if (state.queue.length === 0) state.queuedSince = Number.POSITIVE_INFINITY;
  return {
    granted,
    refused: [...unservable, ...overtaken],
    reason: getQueueRefusalReason(state, now),
    retryMilliseconds: getExpectedWaitMilliseconds(state, {
      ahead: state.queue.length,
      now,
    }),
  };
}

function removeFromQueue(
  state: GateState,
  shouldRemove: (queued: QueuedSlotRequest, index: number) => boolean,
): readonly QueuedSlotRequest[] {
  const removed = state.queue.filter(shouldRemove);
  if (removed.length > 0) {
    state.queue = state.queue.filter((queued) => !removed.includes(queued));
  }
  return removed;
}

function isUnservable(
  state: GateState,
  { request }: QueuedSlotRequest,
  now: number,
): boolean {
  const earliestEnd = now +
    getRouteServiceMilliseconds(state, request.route) *
      remainingServiceShareMinimum;
  return state.closedReason !== undefined ||
    state.condition === ServerCondition.Down ||
    now > request.waitDeadline ||
    earliestEnd > request.deadline;
}

function sortQueue(state: GateState, now: number): void {
  if (state.queue.length < 2) return;
  const keysBeyondShare = listKeysBeyondShare(state);
  state.queue.sort((left, right) =>
    compareQueuedRequests(left, right, { state, keysBeyondShare, now })
  );
}

function grantFreeSlots(
  state: GateState,
  now: number,
): readonly QueuedSlotRequest[] {
  return removeFromQueue(state, ({ request }) => {
    if (!canStart(state, { request, now })) return false;
    occupySlot(state, { request, now });
    return true;
  });
}

function getQueueRefusalReason(state: GateState, now: number): RefusalReason {
  if (state.closedReason !== undefined) return state.closedReason;
  if (state.condition === ServerCondition.Down) {
    return RefusalReason.BackendServerDown;
  }
  return getFullReason(state, now);
}
