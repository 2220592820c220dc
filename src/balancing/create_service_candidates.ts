import type { GateCandidate } from "./gate_candidate.ts";
import type { ServiceCandidates } from "./service_candidates.ts";
import type { ServiceLoad } from "./service_load.ts";

/** Prepares the candidates of a service for many choices. */
export function createServiceCandidates(
  candidates: readonly GateCandidate[],
  options: {
    readonly ownZone: string;
    readonly isOwn: (candidate: GateCandidate) => boolean;
    readonly serviceLoad: ServiceLoad;
  },
): ServiceCandidates {
  const { ownZone, isOwn, serviceLoad } = options;
  return {
    all: candidates,
    nearby: candidates.filter(({ entry }) => entry.zone === ownZone),
    own: candidates.find(isOwn),
    byIdentifier: new Map(
      candidates.map((candidate) => [candidate.entry.identifier, candidate]),
    ),
    slotsMaximum: candidates.reduce(
      (maximum, { entry }) => Math.max(maximum, entry.slots),
      1,
    ),
    serviceLoad,
  };
}
