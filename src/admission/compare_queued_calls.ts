import { CallPriority } from "../configuration/call_priority.ts";
import type { QueuedCall } from "./queued_call.ts";

const rank: Readonly<Record<CallPriority, number>> = {
  [CallPriority.High]: 0,
  [CallPriority.Normal]: 1,
  [CallPriority.Low]: 2,
};

/** Orders by priority, then deadline, then arrival; negative where `left` goes first. */
export function compareQueuedCalls(
  left: QueuedCall,
  right: QueuedCall,
): number {
  return rank[left.request.priority] - rank[right.request.priority] ||
    left.request.deadline - right.request.deadline ||
    left.sequence - right.sequence;
}
