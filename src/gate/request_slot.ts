import { RefusalReason } from "../calls/refusal_reason.ts";
import { canStart } from "./can_start.ts";
import { compareQueuedRequests } from "./compare_queued_requests.ts";
import type { GateState } from "./gate_state.ts";
import { getExpectedSlotWaitMilliseconds } from "./get_expected_slot_wait_milliseconds.ts";
import { getExpectedWaitMilliseconds } from "./get_expected_wait_milliseconds.ts";
import { getFullReason } from "./get_full_reason.ts";
import { getLatestExpectedSlotStart } from "./get_latest_expected_slot_start.ts";
import { getLatestStart } from "./get_latest_start.ts";
import { isHeldAsSuspect } from "./is_held_as_suspect.ts";
import { isKeptForNestedCalls } from "./is_kept_for_nested_calls.ts";
import { listKeysBeyondShare } from "./list_keys_beyond_share.ts";
import { occupySlot } from "./occupy_slot.ts";
import { ServerCondition } from "./server_condition.ts";
import type { SlotDecision } from "./slot_decision.ts";
import { SlotDecisionKind } from "./slot_decision_kind.ts";
import type { SlotRequest } from "./slot_request.ts";

/** Retry delay of refusals by a closed gate or for a backend server that is down, where no wait can be estimated. */
const closedRetryMilliseconds = 500;

/**
 * Decides on a request for a slot: grants it at once, queues it, or refuses it.
 * While more calls arrive than there are slots, a call is queued only if it is
 * expected to get its slot in time.
 */
export function requestSlot(
  state: GateState,
  request: SlotRequest,
  { now }: { readonly now: number },
): SlotDecision {
  if (request.isNested) state.nestedRequestAt = now;
  if (state.closedReason !== undefined) {
    return refuse(state.closedReason, closedRetryMilliseconds);
  }
  if (state.condition === ServerCondition.Down) {
    return refuse(RefusalReason.BackendServerDown, closedRetryMilliseconds);
  }
  if (state.queue.length === 0 && canStart(state, { request, now })) {
    occupySlot(state, { request, now });
    return { kind: SlotDecisionKind.Granted };
  }
  const ahead = countQueuedAhead(state, request, { now });
  const waitMilliseconds = Math.max(
    getExpectedWaitMilliseconds(state, { ahead, now }),
    isHeldBack(state, request, now) ? state.serviceMilliseconds : 0,
  );
  // Refused at once, not after a useless wait.
  const slotWaitMilliseconds = getExpectedSlotWaitMilliseconds(state, {
    ahead,
  });
  if (
    now + waitMilliseconds > getLatestStart(state, request) ||
    now + slotWaitMilliseconds >
      getLatestExpectedSlotStart(state, request, { now })
  ) {
    return refuse(
      getFullReason(state, now),
      Math.max(waitMilliseconds, state.serviceMilliseconds / 2),
    );
  }
  state.queuedSince = Math.min(state.queuedSince, now);
  state.queue.push({ request, queuedAt: now });
  return { kind: SlotDecisionKind.Queued };
}

/** Whether the call waits although a slot is free. */
function isHeldBack(
  state: GateState,
  request: SlotRequest,
  now: number,
): boolean {
  return isHeldAsSuspect(state, request) ||
    (!request.isNested && isKeptForNestedCalls(state, { now }));
}

/** Counts the queued calls that get a slot before a new call; the others do not delay it. */
function countQueuedAhead(
  state: GateState,
  request: SlotRequest,
  { now }: { readonly now: number },
): number {
  if (state.queue.length === 0) return 0;
  const newRequest = { request, queuedAt: now };
  const keysBeyondShare = listKeysBeyondShare(state);
  return state.queue.filter((queued) =>
    compareQueuedRequests(queued, newRequest, {
      state,
      keysBeyondShare,
      now,
    }) <= 0
  ).length;
}

function refuse(
  reason: RefusalReason,
  retryMilliseconds: number,
): SlotDecision {
  return { kind: SlotDecisionKind.Refused, reason, retryMilliseconds };
}
