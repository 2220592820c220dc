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
  if (state.queue.length === 0) return createSettlement(state, [], []);
  if (
    state.closedFor !== undefined || state.condition === ServerCondition.Down
  ) {
    const refused = state.queue;
    state.queue = [];
    return createSettlement(state, [], refused);
  }
  const isTooLate = ({ request }: QueuedSlotRequest) =>
    now > request.waitDeadline ||
    now + state.serviceMilliseconds * startShare > request.deadline;
  const refused = state.queue.filter(isTooLate);
  const latestGoal = now + state.serviceMilliseconds;
  state.queue = state.queue
    .filter((queued) => !isTooLate(queued))
    .sort((left, right) => compareQueuedRequests(left, right, { latestGoal }));
  const granted: QueuedSlotRequest[] = [];
  state.queue = state.queue.filter((queued) => {
    if (!hasFreeSlot(state, now)) return true;
    const { callIdentifier } = queued.request;
    takeSlot(state, { callIdentifier, now });
    granted.push(queued);
    return false;
  });
  return createSettlement(state, granted, refused);

  function createSettlement(
    gate: GateState,
    granted: readonly QueuedSlotRequest[],
    refused: readonly QueuedSlotRequest[],
  ): QueueSettlement {
    const fullReason = isCold(gate, now)
      ? RefusalReason.ColdStart
      : RefusalReason.Full;
    return {
      granted,
      refused,
      reason: gate.closedFor ??
        (gate.condition === ServerCondition.Down
          ? RefusalReason.BackendServerDown
          : fullReason),
      retryMilliseconds: getExpectedWaitMilliseconds(gate, {
        ahead: gate.queue.length,
        now,
      }),
    };
  }
}
