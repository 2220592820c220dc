import type { GateCandidate } from "./gate_candidate.ts";
import { getObservationWeight } from "./get_observation_weight.ts";

/**
 * Returns the mean time to an answer over the candidates that have an average
 * for the route, or `fallback` if no candidate has one. An average counts less
 * the older the candidate's observations are.
 */
export function getMeanAnswerMilliseconds(
  candidates: readonly GateCandidate[],
  options: {
    readonly route: string;
    readonly fallback: number;
    readonly now: number;
  },
): number {
  const sums = candidates.reduce((sum, { view }) => {
    const answer = view.answerMilliseconds.get(options.route);
    if (answer === undefined) return sum;
    const weight = getObservationWeight(view, options.now);
    return {
      weight: sum.weight + weight,
      milliseconds: sum.milliseconds + answer * weight,
    };
  }, { weight: 0, milliseconds: 0 });
  return sums.weight > 0 ? sums.milliseconds / sums.weight : options.fallback;
}
