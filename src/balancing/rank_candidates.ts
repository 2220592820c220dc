import type { GateCandidate } from "./gate_candidate.ts";
import { estimateCandidateCost } from "./estimate_candidate_cost.ts";
import type { RankingContext } from "./ranking_context.ts";

/**
 * Orders candidates by their estimated cost, the best first; candidates to be
 * avoided come last. The cost accounts for a slow backend server among fast
 * ones, a zone that is full while others have free slots, and a backend server
 * that fails calls although its probes succeed.
 */
export function rankCandidates(
  candidates: readonly GateCandidate[],
  context: RankingContext,
): readonly GateCandidate[] {
  if (candidates.length < 2) return candidates;
  return candidates
    .map((candidate) => ({
      candidate,
      avoided: candidate.view.avoidUntil > context.now ? 1 : 0,
      cost: estimateCandidateCost(candidate, context),
    }))
    .sort((left, right) =>
      left.avoided - right.avoided || left.cost - right.cost
    )
    .map(({ candidate }) => candidate);
}
