import { match } from "ts-pattern";
import { CallPriority } from "../configuration/call_priority.ts";
import { QueueOrder } from "./queue_order.ts";
import type { QueuedCall } from "./queued_call.ts";

const rank: Readonly<Record<CallPriority, number>> = {
  [CallPriority.High]: 0,
  [CallPriority.Normal]: 1,
  [CallPriority.Low]: 2,
};

/** Compares two queued calls. Returns a negative number if `left` is dispatched first. */
export function compareQueuedCalls(
  left: QueuedCall,
  right: QueuedCall,
  options: { readonly order: QueueOrder },
): number {
  return match(options.order)
    .with(QueueOrder.FirstInFirstOut, () => left.sequence - right.sequence)
    .with(
      QueueOrder.PriorityThenDeadline,
      () =>
        rank[left.request.priority] - rank[right.request.priority] ||
        left.request.deadline - right.request.deadline ||
        left.sequence - right.sequence,
    )
    .exhaustive();
}
