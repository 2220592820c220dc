import type { GateCandidate } from "./gate_candidate.ts";

/**
 * Leaves out candidates that have not answered since they came, or came back,
 * and that this node is trying already. Pattern: herd on a node that has just
 * returned. It looks idle to everybody, and its process is slow at first, so
 * each node tries it with one call at a time until it answers. Where no other
 * candidate has proven itself there is no choice, and none is left out.
 */
export function limitReturningCandidates(
  candidates: readonly GateCandidate[],
  now: number,
): readonly GateCandidate[] {
  const hasProven = candidates.some(({ view }) =>
    view.proven && view.avoidUntil <= now
  );
  return hasProven
    ? candidates.filter(({ view }) => view.proven || view.inFlight === 0)
    : candidates;
}
