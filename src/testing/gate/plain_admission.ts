import { RefusalReason } from "../../calls/refusal_reason.ts";
import type { GateState } from "../../gate/gate_state.ts";
import { hasFreeSlot } from "../../gate/has_free_slot.ts";
import type { QueueResult } from "../../gate/queue_result.ts";
import { SlotDecisionKind } from "../../gate/slot_decision_kind.ts";
import { occupySlot } from "../../gate/occupy_slot.ts";
import type { OverloadAdmission } from "./overload_admission.ts";

const retryMilliseconds = 100;

/** The plain baseline: first come, first served; who has waited too long is refused. */
export const plainAdmission: OverloadAdmission = {
  request: (state, request, { now }) => {
    if (state.queue.length === 0 && hasFreeSlot(state, now)) {
      occupySlot(state, { request, now });
      return { kind: SlotDecisionKind.Granted };
    }
    state.queue.push({ request, queuedAt: now });
    return { kind: SlotDecisionKind.Queued };
  },
  settle: settleInOrder,
};

function settleInOrder(state: GateState, now: number): QueueResult {
  const refused = state.queue.filter(({ request }) =>
    now > request.waitDeadline
  );
  const waiting = state.queue.filter((queued) => !refused.includes(queued));
  const free = Math.max(0, state.slots - state.running.size);
  const granted = waiting.slice(0, free);
  granted.forEach(({ request }) => occupySlot(state, { request, now }));
  state.queue = waiting.slice(free);
  return { granted, refused, reason: RefusalReason.Full, retryMilliseconds };
}
