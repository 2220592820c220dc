import type { GateView } from "./gate_view.ts";

const halfLifeMilliseconds = 2_000;

/**
 * Returns how much of what was seen of a backend server still counts, 0 to 1.
 * One that looked bad gets no calls that could show that it has recovered, so
 * what is known of it fades.
 */
export function getRememberedShare(view: GateView, now: number): number {
  const age = Math.max(0, now - view.judgedAt);
  return 0.5 ** (age / halfLifeMilliseconds);
}
