import { getNextGateInstant } from "../gate/get_next_gate_instant.ts";
import { settleGateQueue } from "../gate/settle_gate_queue.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Gives free slots to waiting calls, refuses the hopeless ones, and sets the timer for the next look. */
export function settleWaitingCalls(node: MeshNode): void {
  const settlement = settleGateQueue(node.gate, node.clock.now());
  settlement.refused.forEach(({ request }) => {
    const waiter = takeWaiter(node, request.callIdentifier);
    waiter?.onRefused(settlement.reason, settlement.retryMilliseconds);
  });
  settlement.granted.forEach(({ request }) =>
    takeWaiter(node, request.callIdentifier)?.onGranted()
  );
  node.gateTimer?.cancel();
  node.gateTimer = undefined;
  const instant = getNextGateInstant(node.gate, node.clock.now());
  if (!Number.isFinite(instant)) return;
  node.gateTimer = node.timers.at(instant, () => settleWaitingCalls(node));
}

function takeWaiter(node: MeshNode, callIdentifier: string) {
  const waiter = node.slotWaiters.get(callIdentifier);
  node.slotWaiters.delete(callIdentifier);
  return waiter;
}
