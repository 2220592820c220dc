import type { GateCandidate } from "./gate_candidate.ts";
import { getUsualMilliseconds } from "./get_usual_milliseconds.ts";
import { rateCandidate } from "./rate_candidate.ts";
import type { RankingContext } from "./ranking_context.ts";

/** Share of the goal that an answer is assumed to take where none was seen. */
const unknownAnswerShare = 0.3;

/**
 * Orders candidates, the best first. Patterns: a slow backend server among
 * fast ones, a zone that is full while others have room, a backend server
 * that fails calls while its health is good. Those to avoid come last.
 */
export function rankCandidates(
  candidates: readonly GateCandidate[],
  context: RankingContext,
): readonly GateCandidate[] {
  const usualMilliseconds = getUsualMilliseconds(candidates, {
    route: context.route,
    fallback: context.goalMilliseconds * unknownAnswerShare,
    now: context.now,
  });
  const ratingContext = { ...context, usualMilliseconds };
  return candidates
    .map((candidate) => ({
      candidate,
      avoided: candidate.view.avoidUntil > context.now ? 1 : 0,
      cost: rateCandidate(candidate, ratingContext),
    }))
    .sort((left, right) =>
      left.avoided - right.avoided || left.cost - right.cost
    )
    .map(({ candidate }) => candidate);
}
