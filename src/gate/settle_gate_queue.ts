import { RefusalReason } from "../calls/refusal_reason.ts";
import { compareQueuedRequests } from "./compare_queued_requests.ts";
import type { GateState } from "./gate_state.ts";
import { getExpectedWaitMilliseconds } from "./get_expected_wait_milliseconds.ts";
import { getWorkMilliseconds } from "./get_work_milliseconds.ts";
import { getLatestStart } from "./get_latest_start.ts";
import { hasFreeSlot } from "./has_free_slot.ts";
import { isCold } from "./is_cold.ts";
import type { QueueSettlement } from "./queue_settlement.ts";
import type { QueuedSlotRequest } from "./queued_slot_request.ts";
import { ServerCondition } from "./server_condition.ts";
import { takeSlot } from "./take_slot.ts";

/** Share of the service time that must be left for a call to be worth starting. */
const startShare = 0.5;

/** Gives free slots to waiting calls in order, and refuses at once those that can no longer be served. */
export function settleGateQueue(
  state: GateState,
  now: number,
): QueueSettlement {
  const expired = takeFromQueue(
    state,
    (queued) => isExpired(state, queued, now),
  );
  sortQueue(state, now);
  const granted = grantFreeSlots(state, now);
  const crowdedOut = takeFromQueue(
    state,
    ({ request }, index) =>
      now + getExpectedWaitMilliseconds(state, { ahead: index, now }) >
        getLatestStart(state, request),
  );
  return {
    granted,
    refused: [...expired, ...crowdedOut],
    reason: getQueueReason(state, now),
    retryMilliseconds: getExpectedWaitMilliseconds(state, {
      ahead: state.queue.length,
      now,
    }),
  };
}

function takeFromQueue(
  state: GateState,
  isTaken: (queued: QueuedSlotRequest, index: number) => boolean,
): readonly QueuedSlotRequest[] {
  const taken = state.queue.filter(isTaken);
  if (taken.length > 0) {
    state.queue = state.queue.filter((queued) => !taken.includes(queued));
  }
  return taken;
}

function isExpired(
  state: GateState,
  { request }: QueuedSlotRequest,
  now: number,
): boolean {
  const latestStart = now +
    getWorkMilliseconds(state, request.route) * startShare;
  return state.closedFor !== undefined ||
    state.condition === ServerCondition.Down ||
    now > request.waitDeadline ||
    latestStart > request.deadline;
}

function sortQueue(state: GateState, now: number): void {
  state.queue.sort((left, right) =>
    compareQueuedRequests(left, right, { state, now })
  );
}

function grantFreeSlots(
  state: GateState,
  now: number,
): readonly QueuedSlotRequest[] {
  return takeFromQueue(state, ({ request }) => {
    if (!hasFreeSlot(state, now)) return false;
    takeSlot(state, { request, now });
    return true;
  });
}

function getQueueReason(state: GateState, now: number): RefusalReason {
  if (state.closedFor !== undefined) return state.closedFor;
  if (state.condition === ServerCondition.Down) {
    return RefusalReason.BackendServerDown;
  }
  return isCold(state, now) ? RefusalReason.ColdStart : RefusalReason.Full;
}
