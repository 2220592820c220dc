import { getNextQueueInstant } from "../gate/get_next_queue_instant.ts";
import { processGateQueue } from "../gate/process_gate_queue.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Grants free slots to waiting calls, refuses those that can no longer be
 * served, and schedules the next run.
 */
export function processWaitingCalls(node: MeshNode): void {
  const queueUpdate = processGateQueue(node.gate, node.clock.now());
  queueUpdate.refused.forEach(({ request }) => {
    const waiter = removeWaiter(node, request.offerIdentifier);
    waiter?.onRefused(queueUpdate.reason, queueUpdate.retryMilliseconds);
  });
  queueUpdate.granted.forEach(({ request }) =>
    removeWaiter(node, request.offerIdentifier)?.onGranted()
  );
  node.gateTimer?.cancel();
  node.gateTimer = undefined;
  const instant = getNextQueueInstant(node.gate, node.clock.now());
  if (!Number.isFinite(instant)) return;
  node.gateTimer = node.timers.at(instant, () => processWaitingCalls(node));
}

function removeWaiter(node: MeshNode, offerIdentifier: string) {
  const waiter = node.slotWaiters.get(offerIdentifier);
  node.slotWaiters.delete(offerIdentifier);
  return waiter;
}
