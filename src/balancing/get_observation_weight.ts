import type { GateView } from "./gate_view.ts";

const halfLifeMilliseconds = 2_000;

/**
 * Returns the weight, 0 to 1, of the observations of a backend server. It decays
 * exponentially since the last call: a backend server with bad results gets no
 * further calls that could show its recovery, so old results must expire.
 */
export function getObservationWeight(view: GateView, now: number): number {
  const age = Math.max(0, now - view.lastOutcomeAt);
  return 0.5 ** (age / halfLifeMilliseconds);
}
