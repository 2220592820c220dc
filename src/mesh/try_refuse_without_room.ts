import { getCapacityOutlook } from "../capacity/get_capacity_outlook.ts";
import type { OpenGate } from "../capacity/open_gate.ts";
import { expectedWaitShareMaximum } from "../gate/expected_wait_share_maximum.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallPlan } from "./call_plan.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import { createCallRefusal } from "./create_call_refusal.ts";
import { getServiceCapacity } from "./get_service_capacity.ts";
import { listOpenGates } from "./list_open_gates.ts";
import type { MeshNode } from "./mesh_node.ts";
import { promiseRetryInstant } from "./promise_retry_instant.ts";

/**
 * Services with at most so many open gates are not judged early: a call can be
 * offered to all of them in a short time, and each has a large part of the room.
 */
const searchedGatesMaximum = 4;
/** Refusals after which a call is no longer offered to a service known to be full. */
const refusalsMaximum = 2;
/** Share of the goal after which a call that only met full gates is refused. */
const searchShareMaximum = 1 / 8;

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
  const { plan } = progress;
  if (isExempt(progress)) return undefined;
  const capacity = getServiceCapacity(node, plan.service);
  if (capacity.fullGates.size === 0) return undefined;
  const gates = listOpenGates(node, plan);
  if (gates.length <= searchedGatesMaximum) return undefined;
  const now = node.clock.now();
  const outlook = getCapacityOutlook(capacity, {
    gates,
    priority: plan.priority,
    now,
  });
  if (outlook.isFull) {
    const { waitMilliseconds } = outlook;
    return tryRefuseAtFullService(node, progress, {
      gates,
      waitMilliseconds,
      now,
    });
  }
  const isSearchOver = !outlook.hasOpenZone &&
    progress.fullRefusals >= refusalsMaximum && now > getSearchEnd(plan);
  return isSearchOver ? createCallRefusal(node, progress) : undefined;
}

/** What is known of a full service when a call is to be offered to it. */
interface FullService {
  readonly gates: readonly OpenGate[];
  /** The shortest wait for a slot, in milliseconds. */
  readonly waitMilliseconds: number;
  readonly now: number;
}

function isExempt({ plan, attempts }: CallProgress): boolean {
  return plan.isNested || !plan.mayComeBack || attempts > 0;
}

function tryRefuseAtFullService(
  node: MeshNode,
  progress: CallProgress,
  service: FullService,
): CallResult | undefined {
  const { plan, fullRefusals } = progress;
  // The search for a free slot would fail; the call may wait for one.
  progress.isWaitingRound = true;
  if (fullRefusals >= refusalsMaximum) return createCallRefusal(node, progress);
  if (fullRefusals > 0) return undefined;
  if (isRoomExpected(plan, service) || isReturning(plan)) return undefined;
  if (tryPromiseRoom(node, plan, service)) return undefined;
  return refuseWithoutOffer(node, progress, service);
}

/** Whether a slot is expected to be free early enough for the call. */
function isRoomExpected(
  plan: CallPlan,
  { gates, waitMilliseconds, now }: FullService,
): boolean {
  const latestGoalStart = plan.goalDeadline -
    Math.min(...gates.map((gate) => gate.answerMilliseconds));
  // Gates queue a call that is expected to start by then.
  const latestExpectedStart = now +
    (latestGoalStart - now) * expectedWaitShareMaximum;
  return now + waitMilliseconds <=
    Math.max(getSearchEnd(plan), latestExpectedStart);
}

/** Whether the caller has spent a part of the goal on earlier attempts. */
function isReturning(plan: CallPlan): boolean {
  return plan.goalDeadline < plan.receivedAt + plan.route.goalMilliseconds;
}

/** Promises the next room to the call, unless it is promised to an earlier one. */
function tryPromiseRoom(
  node: MeshNode,
  plan: CallPlan,
  { now }: FullService,
): boolean {
  if (getServiceCapacity(node, plan.service).promisedUntil > now) return false;
  promiseRetryInstant(node, plan, { earliest: now });
  return true;
}

function refuseWithoutOffer(
  node: MeshNode,
  progress: CallProgress,
  { gates, waitMilliseconds, now }: FullService,
): CallResult {
  const { plan } = progress;
  const isCold = gates.every(({ coldUntil }) => coldUntil > now);
  progress.lastReason = isCold ? RefusalReason.ColdStart : RefusalReason.Full;
  node.report.call({
    kind: CallEventKind.RefusedWithoutOffer,
    call: plan.callIdentifier,
    route: plan.route.name,
    service: plan.service,
    reason: progress.lastReason,
    waitMilliseconds: Math.round(waitMilliseconds),
  });
  return createCallRefusal(node, progress, { waitMilliseconds });
}

/** Returns until when a call is offered to further gates whatever is known of them. */
function getSearchEnd({ receivedAt, route }: CallPlan): number {
  return receivedAt + route.goalMilliseconds * searchShareMaximum;
}
