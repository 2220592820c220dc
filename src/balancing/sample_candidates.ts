import type { RandomSource } from "../runtime/random_source.ts";
import { drawCandidate } from "./draw_candidate.ts";
import type { GateCandidate } from "./gate_candidate.ts";
import type { ServiceCandidates } from "./service_candidates.ts";

/** Number of candidates drawn from the own availability zone. */
const nearbyDraws = 2;
/** Number of candidates drawn from the whole service. */
const serviceDraws = 2;

/**
 * Returns a small random sample of the candidates: some of the own zone, and some
 * of the service. More would make nodes with the same reports choose the same
 * backend server.
 */
export function sampleCandidates(
  candidates: ServiceCandidates,
  options: { readonly random: RandomSource; readonly now: number },
): readonly GateCandidate[] {
  const { all, nearby, slotsMaximum } = candidates;
  const drawFrom = (from: readonly GateCandidate[], count: number) =>
    Array.from(
      { length: count },
      () => drawCandidate(from, { ...options, slotsMaximum }),
    );
  return [...drawFrom(nearby, nearbyDraws), ...drawFrom(all, serviceDraws)]
    .filter((candidate) => candidate !== undefined);
}
