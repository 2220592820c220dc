import { estimateCandidateCost } from "./estimate_candidate_cost.ts";
import { estimateUseCost } from "./estimate_use_cost.ts";
import type { GateCandidate } from "./gate_candidate.ts";
import { isSound } from "./is_sound.ts";
import type { RankingContext } from "./ranking_context.ts";
import { sampleCandidates } from "./sample_candidates.ts";
import type { ServiceCandidates } from "./service_candidates.ts";

/** Without a sound and usable candidate in so many samples, few are left and all are compared. */
const samplesMaximum = 3;

interface EstimatedCandidate {
  readonly candidate: GateCandidate;
  readonly cost: number;
  readonly useCost: number;
}

/**
 * Returns the best sound and usable candidate of a small random sample; undefined if
 * several samples had none. Within a zone the load is kept even; calls leave the
 * own zone only if another serves them better.
 */
export function chooseFromSample(
  candidates: ServiceCandidates,
  context: RankingContext & {
    readonly isUsable: (candidate: GateCandidate) => boolean;
  },
): GateCandidate | undefined {
  return choose(samplesMaximum);

  function choose(samplesLeft: number): GateCandidate | undefined {
    if (samplesLeft === 0) return undefined;
    const usable = sampleCandidates(candidates, context)
      .filter((candidate) =>
        isSound(candidate, context.now) && context.isUsable(candidate)
      )
      .map(estimate);
    const isNearby = ({ candidate }: EstimatedCandidate) =>
      candidate.entry.zone === context.ownZone;
    const nearby = findBest(usable.filter(isNearby));
    const far = findBest(usable.filter((other) => !isNearby(other)));
    if (nearby === undefined && far === undefined) {
      return choose(samplesLeft - 1);
    }
    if (nearby === undefined || far === undefined) {
      return (nearby ?? far)?.candidate;
    }
    return (far.cost < nearby.cost ? far : nearby).candidate;
  }

  function estimate(candidate: GateCandidate): EstimatedCandidate {
    return {
      candidate,
      cost: estimateCandidateCost(candidate, context),
      useCost: estimateUseCost(candidate, context.now),
    };
  }
}

function findBest(
  estimated: readonly EstimatedCandidate[],
): EstimatedCandidate | undefined {
  const getCost = ({ cost, useCost }: EstimatedCandidate) => cost + useCost;
  return estimated.reduce<EstimatedCandidate | undefined>(
    (best, other) =>
      best === undefined || getCost(other) < getCost(best) ? other : best,
    undefined,
  );
}
