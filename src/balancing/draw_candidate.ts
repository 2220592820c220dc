import type { RandomSource } from "../runtime/random_source.ts";
import type { GateCandidate } from "./gate_candidate.ts";
import { getSlowness } from "./get_slowness.ts";

/** Bounds the cost of a draw where most candidates are slow. */
const drawsMaximum = 4;
/** Backend servers this much faster than the mean are drawn most often. */
const slownessMinimum = 0.5;

/**
 * Draws a candidate at random, weighted by its estimated rate: slots by the time
 * of an answer. The cost does not depend on the number of candidates.
 */
export function drawCandidate(
  candidates: readonly GateCandidate[],
  options: {
    readonly random: RandomSource;
    /** The most slots that one of them has. */
    readonly slotsMaximum: number;
    readonly now: number;
  },
): GateCandidate | undefined {
  return draw(drawsMaximum);

  function draw(drawsLeft: number): GateCandidate | undefined {
    const { random, slotsMaximum, now } = options;
    const candidate = candidates[Math.floor(random.next() * candidates.length)];
    if (candidate === undefined || drawsLeft <= 1) return candidate;
    const slowness = getSlowness(candidate.view, now);
    const weight = candidate.entry.slots / slotsMaximum *
      Math.min(1, slownessMinimum / slowness);
    return random.next() < weight ? candidate : draw(drawsLeft - 1);
  }
}
