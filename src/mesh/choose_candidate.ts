import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { rankCandidates } from "../balancing/rank_candidates.ts";
import type { CallProgress } from "./call_progress.ts";
import { getWaitDeadline } from "./get_wait_deadline.ts";
import { listCandidates } from "./list_candidates.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * A few full gates indicate the load of the others, so offering the call to
 * each one would cost more than the free slots it finds are worth.
 */
const firstRoundRefusalsMaximum = 6;
/** Includes the refusals of the waiting round. */
const allRefusalsMaximum = 9;

/**
 * Returns the best backend server for the next offer in this round; undefined
 * if none is left or enough of them are full. Gates known to be full are
 * candidates only in the waiting round, and only if the wait that they reported
 * is short enough.
 */
export function chooseCandidate(
  node: MeshNode,
  progress: CallProgress,
): GateCandidate | undefined {
  const { plan } = progress;
  const refusalsMaximum = progress.isWaitingRound
    ? allRefusalsMaximum
    : firstRoundRefusalsMaximum;
  if (progress.fullRefusals >= refusalsMaximum) return undefined;
  const now = node.clock.now();
  const getExpectedWait = ({ entry, view }: GateCandidate) =>
    progress.reportedWaits.get(entry.identifier) ??
      (view.fullUntil > now ? view.waitMilliseconds : 0);
  const isEligible = (candidate: GateCandidate) =>
    progress.isWaitingRound
      ? now + getExpectedWait(candidate) <=
        getWaitDeadline(progress, { candidate, now })
      : candidate.view.fullUntil <= now &&
        !progress.reportedWaits.has(candidate.entry.identifier);
  const candidates = listCandidates(node, plan.service).filter((candidate) =>
    !progress.excluded.has(candidate.entry.identifier) &&
    isEligible(candidate)
  );
  const ranked = rankCandidates(candidates, {
    now,
    random: node.random,
    route: plan.route.name,
    goalMilliseconds: plan.route.goalMilliseconds,
    ownZone: node.settings.zone,
    answerBytes: node.answerBytes.get(plan.route.name) ?? 0,
  });
  if (!progress.isWaitingRound) return ranked[0];
  return ranked.toSorted((left, right) =>
    getExpectedWait(left) - getExpectedWait(right)
  )[0];
}
