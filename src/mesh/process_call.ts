import { match } from "ts-pattern";
import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { recordLoad } from "../balancing/record_load.ts";
import { hasRoom } from "../capacity/has_room.ts";
import { recordGateRoom } from "../capacity/record_gate_room.ts";
import { recordDeparture } from "../register/record_departure.ts";
import { countCallForRetries } from "../retries/count_call_for_retries.ts";
import type { CallPlan } from "./call_plan.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import { canRetryAfterAttempt } from "./can_retry_after_attempt.ts";
import { chooseCandidate } from "./choose_candidate.ts";
import { createCallProgress } from "./create_call_progress.ts";
import { createCallRefusal } from "./create_call_refusal.ts";
import { getRetryCounts } from "./get_retry_counts.ts";
import { getServiceCapacity } from "./get_service_capacity.ts";
import { getWaitDeadline } from "./get_wait_deadline.ts";
import { handleOfferAnswer } from "./handle_offer_answer.ts";
import { handleOfferLoss } from "./handle_offer_loss.ts";
import { handleOfferRefusal } from "./handle_offer_refusal.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { sendOffer } from "./send_offer.ts";
import { tryRefuseAtStop } from "./try_refuse_at_stop.ts";
import { tryRefuseQuarantinedCall } from "./try_refuse_quarantined_call.ts";
import { tryRefuseWithoutRoom } from "./try_refuse_without_room.ts";

/**
 * Processes a call until it has a result. The first round searches for a
 * free slot, the best candidate first. If there is none, the second round lets
 * the call wait at the candidate with the shortest expected wait.
 */
export async function processCall(
  node: MeshNode,
  plan: CallPlan,
): Promise<CallResult> {
  countCallForRetries(getRetryCounts(node, plan.service), {
    allowance: node.settings.retryAllowance,
    now: node.clock.now(),
  });
  const progress = createCallProgress(plan);
  // Sequential, since the next candidate depends on the last outcome.
  while (!plan.signal.aborted) {
    const stopped = tryRefuseAtStop(node, progress);
    if (stopped !== undefined) return stopped;
    const quarantined = tryRefuseQuarantinedCall(node, progress);
    if (quarantined !== undefined) return quarantined;
    const refused = tryRefuseWithoutRoom(node, progress);
    if (refused !== undefined) return refused;
    const candidate = chooseCandidate(node, progress);
    if (candidate === undefined) {
      if (progress.isWaitingRound) break;
      progress.isWaitingRound = true;
      continue;
    }
    const result = await offerToCandidate(node, progress, { candidate });
    if (result !== undefined) return result;
  }
  return progress.fallback ?? createCallRefusal(node, progress);
}

/**
 * Returns the result of the call; undefined if the next candidate has to
 * receive it.
 */
async function offerToCandidate(
  node: MeshNode,
  progress: CallProgress,
  { candidate }: { readonly candidate: GateCandidate },
): Promise<CallResult | undefined> {
  const { entry, view } = candidate;
  const offeredAt = node.clock.now();
  const waitDeadline = Math.min(
    getWaitDeadline(progress, { candidate, now: offeredAt }),
    node.offersEndAt,
  );
  progress.excluded.add(entry.identifier);
  view.inFlight += 1;
  try {
    const outcome = await sendOffer(node, progress.plan, {
      candidate,
      waitDeadline,
      canRetry: canRetryAfterAttempt(progress),
    });
    if (outcome.load !== undefined) {
      recordLoad(view, { load: outcome.load, now: node.clock.now() });
      if (hasRoom(outcome.load)) {
        const { identifier } = entry;
        recordGateRoom(getServiceCapacity(node, entry.service), { identifier });
      }
      const { departure } = outcome.load;
      if (departure !== undefined) {
        recordDeparture(node.departures, { entry, departure });
      }
    }
    return await handleOutcome(node, progress, {
      candidate,
      outcome,
      offeredAt,
    });
  } finally {
    view.inFlight -= 1;
  }
}

async function handleOutcome(
  node: MeshNode,
  progress: CallProgress,
  options: {
    readonly candidate: GateCandidate;
    readonly outcome: OfferOutcome;
    readonly offeredAt: number;
  },
): Promise<CallResult | undefined> {
  const { candidate, outcome, offeredAt } = options;
  return await match(outcome)
    .with(
      { kind: OfferOutcomeKind.Answered },
      (answered) =>
        handleOfferAnswer(node, progress, { candidate, answered, offeredAt }),
    )
    .with(
      { kind: OfferOutcomeKind.Refused },
      (refused) =>
        handleOfferRefusal(node, progress, { candidate, refused, offeredAt }),
    )
    .with(
      { kind: OfferOutcomeKind.Lost },
      ({ reason, cause }) =>
        handleOfferLoss(node, progress, {
          candidate,
          reason,
          cause,
          offeredAt,
        }),
    )
    .exhaustive();
}
