import type { GateCandidate } from "./gate_candidate.ts";
import { getObservationWeight } from "./get_observation_weight.ts";

/** Above this share of failures, others serve a call better. */
const failureRateMaximum = 0.1;

/**
 * Whether nothing speaks against a backend server but its load and speed: it is
 * listed, was reached when it was last tried, and does not fail calls. After a
 * power cut most of a small sample may be unsound, while a few others are known
 * to be sound.
 */
export function isSound(
  { view, isRemoved }: GateCandidate,
  now: number,
): boolean {
  return !isRemoved && view.avoidUntil <= now && view.contactFailures === 0 &&
    view.failureRate * getObservationWeight(view, now) <= failureRateMaximum;
}
