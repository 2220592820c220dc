import type { GateCandidate } from "./gate_candidate.ts";

/**
 * Whether a backend server is listed, and was reached when it was last tried.
 * After a power cut most of a small sample may be lost, while a few others are
 * known to be reached.
 */
export function isSound(
  { view, isRemoved }: GateCandidate,
  now: number,
): boolean {
  return !isRemoved && view.avoidUntil <= now && view.contactFailures === 0;
}
