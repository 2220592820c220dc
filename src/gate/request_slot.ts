import { RefusalReason } from "../calls/refusal_reason.ts";
import { getExpectedWaitMilliseconds } from "./get_expected_wait_milliseconds.ts";
import { compareQueuedRequests } from "./compare_queued_requests.ts";
import type { GateState } from "./gate_state.ts";
import { getLatestStart } from "./get_latest_start.ts";
import { hasFreeSlot } from "./has_free_slot.ts";
import { isCold } from "./is_cold.ts";
import { ServerCondition } from "./server_condition.ts";
import type { SlotDecision } from "./slot_decision.ts";
import { SlotDecisionKind } from "./slot_decision_kind.ts";
import type { SlotRequest } from "./slot_request.ts";
import { takeSlot } from "./take_slot.ts";

/** When to come back where no rate of service says so. */
const closedRetryMilliseconds = 500;

/** Decides on a call: a slot at once, a place in the queue, or a refusal. Pattern: more calls than slots. */
export function requestSlot(
  state: GateState,
  request: SlotRequest,
  { now }: { readonly now: number },
): SlotDecision {
  if (state.closedFor !== undefined) {
    return refuse(state.closedFor, closedRetryMilliseconds);
  }
  if (state.condition === ServerCondition.Down) {
    return refuse(RefusalReason.BackendServerDown, closedRetryMilliseconds);
  }
  if (state.queue.length === 0 && hasFreeSlot(state, now)) {
    takeSlot(state, { request, now });
    return { kind: SlotDecisionKind.Granted };
  }
  const ahead = countAhead(state, request, { now });
  const wait = getExpectedWaitMilliseconds(state, { ahead, now });
  // A call that would end after its deadline is refused before it has waited.
  if (now + wait > getLatestStart(state, request)) {
    return refuse(
      isCold(state, now) ? RefusalReason.ColdStart : RefusalReason.Full,
      Math.max(wait, state.serviceMilliseconds / 2),
    );
  }
  state.queue.push({ request, queuedAt: now });
  return { kind: SlotDecisionKind.Queued };
}

/** Only calls that get a slot before a newcomer are a reason to refuse it. */
function countAhead(
  state: GateState,
  request: SlotRequest,
  { now }: { readonly now: number },
): number {
  const newcomer = { request, queuedAt: now };
  return state.queue.filter((queued) =>
    compareQueuedRequests(queued, newcomer, { state, now }) <= 0
  ).length;
}

function refuse(
  reason: RefusalReason,
  retryMilliseconds: number,
): SlotDecision {
  return { kind: SlotDecisionKind.Refused, reason, retryMilliseconds };
}
