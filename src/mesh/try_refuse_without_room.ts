import { getCapacityOutlook } from "../capacity/get_capacity_outlook.ts";
import { expectedWaitShareMaximum } from "../gate/expected_wait_share_maximum.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import { createCallRefusal } from "./create_call_refusal.ts";
import { getServiceCapacity } from "./get_service_capacity.ts";
import { listOpenGates } from "./list_open_gates.ts";
import type { MeshNode } from "./mesh_node.ts";
import { promiseRetryInstant } from "./promise_retry_instant.ts";

/**
 * Gates that a call asks all by itself. The search among so few is short, and
 * each has a large part of the room that becomes free meanwhile.
 */
const fewGates = 4;
/** Refusals after which a call is no longer offered to a service known to be full. */
const refusalsMaximum = 2;
/** Share of the goal after which a call that only met full gates is refused. */
const walkShareMaximum = 1 / 8;

/**
 * Refuses a call at once if its service is known to be full. A call for which
 * room is expected, or was promised, is still offered to a few gates, which keeps
 * the knowledge fresh. Returns undefined if the call has to be offered.
 *
 * Calls whose refusal wastes other work, and calls that a backend server may have
 * run, are not refused early.
 */
export function tryRefuseWithoutRoom(
  node: MeshNode,
  progress: CallProgress,
): CallResult | undefined {
  const { plan, fullRefusals } = progress;
  const isExempt = plan.isNested || !plan.mayComeBack || progress.attempts > 0;
  const capacity = getServiceCapacity(node, plan.service);
  if (isExempt || capacity.fullGates.size === 0) return undefined;
  const now = node.clock.now();
  const gates = listOpenGates(node, plan);
  if (gates.length <= fewGates) return undefined;
  const outlook = getCapacityOutlook(capacity, {
    gates,
    priority: plan.priority,
    now,
  });
  const walkUntil = plan.receivedAt +
    plan.route.goalMilliseconds * walkShareMaximum;
  if (!outlook.isFull) {
    const isWalkOver = fullRefusals >= refusalsMaximum && now > walkUntil &&
      !outlook.hasOpenZone;
    return isWalkOver ? createCallRefusal(node, progress) : undefined;
  }
  // The search for a free slot would fail; the call may wait for one.
  progress.isWaitingRound = true;
  if (fullRefusals >= refusalsMaximum) return createCallRefusal(node, progress);
  if (fullRefusals > 0 || isAdmissible()) return undefined;
  const isCold = gates.every(({ coldUntil }) => coldUntil > now);
  progress.lastReason = isCold ? RefusalReason.ColdStart : RefusalReason.Full;
  node.report.call({
    kind: CallEventKind.RefusedWithoutOffer,
    call: plan.callIdentifier,
    route: plan.route.name,
    service: plan.service,
    reason: progress.lastReason,
    waitMilliseconds: Math.round(outlook.waitMilliseconds),
  });
  return createCallRefusal(node, progress, {
    waitMilliseconds: outlook.waitMilliseconds,
  });

  function isAdmissible(): boolean {
    const waitMilliseconds = outlook.isFull ? outlook.waitMilliseconds : 0;
    const latestGoalStart = plan.goalDeadline -
      Math.min(...gates.map((gate) => gate.answerMilliseconds));
    // Gates queue a call that is expected to start by then.
    const latestExpectedStart = now +
      (latestGoalStart - now) * expectedWaitShareMaximum;
    const isRoomNear = now + waitMilliseconds <=
      Math.max(walkUntil, latestExpectedStart);
    const isReturning = plan.goalDeadline <
      plan.receivedAt + plan.route.goalMilliseconds;
    if (isRoomNear || isReturning) return true;
    if (capacity.promisedUntil > now) return false;
    promiseRetryInstant(node, plan, { earliest: now });
    return true;
  }
}
