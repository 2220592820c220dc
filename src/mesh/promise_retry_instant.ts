import { getAdmittedCallsPerSecond } from "../capacity/get_admitted_calls_per_second.ts";
import { promiseRoom } from "../capacity/promise_room.ts";
import type { CallPlan } from "./call_plan.ts";
import { getServiceCapacity } from "./get_service_capacity.ts";
import { listOpenGates } from "./list_open_gates.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Callers wait for up to this share of their remaining time. */
const callerWaitShare = 1 / 3;
/** Spreads the callers that return at the end of a cold start. */
const coldEndSpreadMilliseconds = 100;

/**
 * Returns when there will be room for a call at its service, in milliseconds
 * since the Unix epoch, and promises it to the call.
 */
export function promiseRetryInstant(
  node: MeshNode,
  plan: CallPlan,
  options: {
    /** The first instant at which a gate may have a free slot. */
    readonly earliest: number;
  },
): number {
  const now = node.clock.now();
  const gates = listOpenGates(node, plan);
  const instant = promiseRoom(getServiceCapacity(node, plan.service), {
    admittedCallsPerSecond: getAdmittedCallsPerSecond(gates, {
      coldCallsPerSecond: node.view.rules?.services.get(plan.service)
        ?.coldCallsPerSecond,
      nodes: node.view.register.size,
      now,
    }),
    earliest: options.earliest,
    latest: now + (plan.deadline - now) * callerWaitShare,
  });
  const coldUntil = Math.min(...gates.map((gate) => gate.coldUntil));
  if (gates.length === 0 || coldUntil <= now) return instant;
  // A warm gate admits several times as many calls.
  return Math.min(
    instant,
    coldUntil + node.random.next() * coldEndSpreadMilliseconds,
  );
}
