import { RefusalReason } from "../calls/refusal_reason.ts";
import { compareQueuedRequests } from "./compare_queued_requests.ts";
import type { GateState } from "./gate_state.ts";
import { getExpectedWaitMilliseconds } from "./get_expected_wait_milliseconds.ts";
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
  const refused = takeHopelessCalls(state, now);
  const granted = grantFreeSlots(state, now);
  return {
    granted,
    refused,
    reason: getQueueReason(state, now),
    retryMilliseconds: getExpectedWaitMilliseconds(state, {
      ahead: state.queue.length,
      now,
    }),
  };
}

function takeHopelessCalls(
  state: GateState,
  now: number,
): readonly QueuedSlotRequest[] {
  const isShut = state.closedFor !== undefined ||
    state.condition === ServerCondition.Down;
  const latestStart = now + state.serviceMilliseconds * startShare;
  const isHopeless = ({ request }: QueuedSlotRequest) =>
    isShut || now > request.waitDeadline || latestStart > request.deadline;
  const hopeless = state.queue.filter(isHopeless);
  if (hopeless.length > 0) {
    state.queue = state.queue.filter((queued) => !isHopeless(queued));
  }
  return hopeless;
}

function grantFreeSlots(
  state: GateState,
  now: number,
): readonly QueuedSlotRequest[] {
  if (state.queue.length === 0 || !hasFreeSlot(state, now)) return [];
  const latestGoal = now + state.serviceMilliseconds;
  const granted: QueuedSlotRequest[] = [];
  state.queue = state.queue
    .sort((left, right) => compareQueuedRequests(left, right, { latestGoal }))
    .filter((queued) => {
      if (!hasFreeSlot(state, now)) return true;
      const { callIdentifier } = queued.request;
      takeSlot(state, { callIdentifier, now });
      granted.push(queued);
      return false;
    });
  return granted;
}

function getQueueReason(state: GateState, now: number): RefusalReason {
  if (state.closedFor !== undefined) return state.closedFor;
  if (state.condition === ServerCondition.Down) {
    return RefusalReason.BackendServerDown;
  }
  return isCold(state, now) ? RefusalReason.ColdStart : RefusalReason.Full;
}
