import type { RandomSource } from "../../src/runtime/random_source.ts";

/** Draws a uniformly distributed number from `minimum` (inclusive) to `maximum` (exclusive). */
export function drawUniform(
  random: RandomSource,
  [minimum, maximum]: readonly [number, number],
): number {
  return minimum + random.next() * (maximum - minimum);
}
