import type { GateCandidate } from "./gate_candidate.ts";

/** Returns the mean time to an answer over the candidates that have one for the route. */
export function getUsualMilliseconds(
  candidates: readonly GateCandidate[],
  options: { readonly route: string; readonly fallback: number },
): number {
  const known = candidates.flatMap(({ view }) =>
    view.answerMilliseconds.get(options.route) ?? []
  );
  if (known.length === 0) return options.fallback;
  return known.reduce((sum, value) => sum + value, 0) / known.length;
}
