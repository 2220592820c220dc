import { RefusalReason } from "../../calls/refusal_reason.ts";
import type { GateState } from "../../gate/gate_state.ts";
import { hasFreeSlot } from "../../gate/has_free_slot.ts";
import type { QueueResult } from "../../gate/queue_result.ts";
import { SlotDecisionKind } from "../../gate/slot_decision_kind.ts";
import { occupySlot } from "../../gate/occupy_slot.ts";
import type { AdmissionPolicy } from "./admission_policy.ts";

const retryMilliseconds = 100;

/** The baseline: a FIFO queue that refuses a call only after its wait deadline. */
export const fifoAdmission: AdmissionPolicy = {
  request: (state, request, { now }) => {
    if (state.queue.length === 0 && hasFreeSlot(state, now)) {
      occupySlot(state, { request, now });
      return { kind: SlotDecisionKind.Granted };
    }
    state.queue.push({ request, queuedAt: now });
    return { kind: SlotDecisionKind.Queued };
  },
  processQueue: processQueueInOrder,
};

function processQueueInOrder(state: GateState, now: number): QueueResult {
  const refused = state.queue.filter(({ request }) =>
    now > request.waitDeadline
  );
  const waiting = state.queue.filter((queued) => !refused.includes(queued));
  const freeSlots = Math.max(0, state.slots - state.running.size);
  const granted = waiting.slice(0, freeSlots);
  granted.forEach(({ request }) => occupySlot(state, { request, now }));
  state.queue = waiting.slice(freeSlots);
  return { granted, refused, reason: RefusalReason.Full, retryMilliseconds };
}
