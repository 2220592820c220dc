import type { RandomSource } from "../../src/runtime/random_source.ts";

/** Draws a number between the two, uniformly. */
export function drawBetween(
  random: RandomSource,
  [shortest, longest]: readonly [number, number],
): number {
  return shortest + random.next() * (longest - shortest);
}
