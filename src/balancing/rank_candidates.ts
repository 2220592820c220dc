import type { GateCandidate } from "./gate_candidate.ts";
import { getMeanAnswerMilliseconds } from "./get_mean_answer_milliseconds.ts";
import { estimateCandidateCost } from "./estimate_candidate_cost.ts";
import type { RankingContext } from "./ranking_context.ts";

/** Time that an answer is assumed to take before any was observed, as a share of the goal. */
const assumedAnswerShare = 0.3;

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
  const meanAnswerMilliseconds = getMeanAnswerMilliseconds(candidates, {
    route: context.route,
    fallback: context.goalMilliseconds * assumedAnswerShare,
    now: context.now,
  });
  const costContext = { ...context, meanAnswerMilliseconds };
  return candidates
    .map((candidate) => ({
      candidate,
      avoided: candidate.view.avoidUntil > context.now ? 1 : 0,
      cost: estimateCandidateCost(candidate, costContext),
    }))
    .sort((left, right) =>
      left.avoided - right.avoided || left.cost - right.cost
    )
    .map(({ candidate }) => candidate);
}
