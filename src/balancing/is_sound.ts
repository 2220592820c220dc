import type { GateCandidate } from "./gate_candidate.ts";

/**
 * Whether a backend server is listed, and was not found unreachable of late.
 * After a power cut most of a small sample may be lost, while a few others are
 * known to be reached.
 */
export function isSound(
  { view, isRemoved }: GateCandidate,
  now: number,
): boolean {
  const { avoidUntil, contactFailures, unreachedUntil } = view;
  const isReached = contactFailures === 0 || unreachedUntil <= now;
  return !isRemoved && avoidUntil <= now && isReached;
}
