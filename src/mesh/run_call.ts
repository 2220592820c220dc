import { match } from "ts-pattern";
import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { noteLoad } from "../balancing/note_load.ts";
import { countRetryRequest } from "../retries/count_retry_request.ts";
import type { CallEnd } from "./call_end.ts";
import type { CallPlan } from "./call_plan.ts";
import type { CallRun } from "./call_run.ts";
import { chooseCandidate } from "./choose_candidate.ts";
import { createCallRefusal } from "./create_call_refusal.ts";
import { createCallRun } from "./create_call_run.ts";
import { getRetryCounts } from "./get_retry_counts.ts";
import { getWaitDeadline } from "./get_wait_deadline.ts";
import { makeOffer } from "./make_offer.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { takeOfferAnswer } from "./take_offer_answer.ts";
import { takeOfferLoss } from "./take_offer_loss.ts";
import { takeOfferRefusal } from "./take_offer_refusal.ts";

/**
 * Takes a call to its end. The first round asks for a free slot, the best
 * candidate first; where none is free, the second round lets the call wait
 * where the wait is shortest.
 */
export async function runCall(
  node: MeshNode,
  plan: CallPlan,
): Promise<CallEnd> {
  countRetryRequest(getRetryCounts(node, plan.service), {
    allowance: node.settings.retryAllowance,
    now: node.clock.now(),
  });
  const run = createCallRun(plan);
  // A loop, since whom to ask next depends on what the last one said.
  while (!plan.signal.aborted) {
    const candidate = chooseCandidate(node, run);
    if (candidate === undefined) {
      if (run.mayWait) break;
      run.mayWait = true;
      continue;
    }
    const end = await askCandidate(node, run, { candidate });
    if (end !== undefined) return end;
  }
  return run.fallback ?? createCallRefusal(node, run);
}

/** Returns the end of the call, or undefined where the next candidate is to be asked. */
async function askCandidate(
  node: MeshNode,
  run: CallRun,
  { candidate }: { readonly candidate: GateCandidate },
): Promise<CallEnd | undefined> {
  const { entry, view } = candidate;
  const offeredAt = node.clock.now();
  const waitDeadline = getWaitDeadline(run, { candidate, now: offeredAt });
  run.asked.add(entry.identifier);
  view.inFlight += 1;
  const outcome = await makeOffer(node, run.plan, { candidate, waitDeadline });
  if (outcome.load !== undefined) {
    noteLoad(view, { load: outcome.load, now: node.clock.now() });
  }
  const end = await match(outcome)
    .with(
      { kind: OfferOutcomeKind.Answered },
      (answered) =>
        takeOfferAnswer(node, run, { candidate, answered, offeredAt }),
    )
    .with(
      { kind: OfferOutcomeKind.Refused },
      (refused) => takeOfferRefusal(node, run, { candidate, refused }),
    )
    .with(
      { kind: OfferOutcomeKind.Lost },
      ({ reason }) => takeOfferLoss(node, run, { candidate, reason }),
    )
    .exhaustive();
  view.inFlight -= 1;
  return end;
}
