import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { isSound } from "../balancing/is_sound.ts";
import { rankCandidates } from "../balancing/rank_candidates.ts";
import type { RankingContext } from "../balancing/ranking_context.ts";
import { sampleCandidates } from "../balancing/sample_candidates.ts";
import type { ServiceCandidates } from "../balancing/service_candidates.ts";
import type { CallProgress } from "./call_progress.ts";
import { getWaitDeadline } from "./get_wait_deadline.ts";

/** Up to this number, all candidates are compared. */
const comparedCandidatesMaximum = 12;
const sampleCount = 2;

/**
 * Returns the candidate with the shortest expected wait among those where a call
 * may wait so long; undefined if there is none. Where candidates are many, only
 * those that refused the call and a sample of the others are compared: the first
 * round has shown that most are full.
 */
export function chooseWaitingCandidate(
  progress: CallProgress,
  options: {
    readonly candidates: ServiceCandidates;
    readonly context: RankingContext;
    readonly isCandidate: (candidate: GateCandidate) => boolean;
  },
): GateCandidate | undefined {
  const { candidates, context, isCandidate } = options;
  const { now } = context;
  const getExpectedWaitMilliseconds = ({ entry, view }: GateCandidate) =>
    progress.reportedWaits.get(entry.identifier) ??
      (view.fullUntil > now ? view.waitMilliseconds : 0);
  const isEligible = (candidate: GateCandidate) =>
    isCandidate(candidate) &&
    now + getExpectedWaitMilliseconds(candidate) <=
      getWaitDeadline(progress, { candidate, now });
  const compared = listCompared(progress, { candidates, context });
  const eligible = compared.filter(isEligible);
  return rankCandidates(
    eligible.length > 0 ? eligible : listRest().filter(isEligible),
    context,
  ).toSorted((left, right) =>
    getLossOrder(left) - getLossOrder(right) ||
    getExpectedWaitMilliseconds(left) - getExpectedWaitMilliseconds(right)
  ).at(0);

  /** One that may be lost reported no wait, which does not make it free. */
  function getLossOrder(candidate: GateCandidate): number {
    return isSound(candidate, now) ? 0 : 1;
  }

  /** Without a refusal of a full gate, nothing is known of the others. */
  function listRest(): readonly GateCandidate[] {
    return progress.reportedWaits.size > 0 ? [] : candidates.all;
  }
}

function listCompared(
  progress: CallProgress,
  options: {
    readonly candidates: ServiceCandidates;
    readonly context: RankingContext;
  },
): readonly GateCandidate[] {
  const { candidates, context } = options;
  if (candidates.all.length <= comparedCandidatesMaximum) return candidates.all;
  const refusing = Array.from(progress.reportedWaits.keys())
    .map((identifier) => candidates.byIdentifier.get(identifier))
    .filter((candidate) => candidate !== undefined);
  const sampled = Array.from(
    { length: sampleCount },
    () => sampleCandidates(candidates, context),
  ).flat();
  return [...new Set([...refusing, ...sampled])];
}
