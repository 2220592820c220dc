import type { GateCandidate } from "./gate_candidate.ts";
import { getRememberedShare } from "./get_remembered_share.ts";

/** Returns the mean time to an answer over the candidates that have one for the route; what was seen long ago weighs little. */
export function getUsualMilliseconds(
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
    const weight = getRememberedShare(view, options.now);
    return {
      weight: sum.weight + weight,
      milliseconds: sum.milliseconds + answer * weight,
    };
  }, { weight: 0, milliseconds: 0 });
  return sums.weight > 0 ? sums.milliseconds / sums.weight : options.fallback;
}
