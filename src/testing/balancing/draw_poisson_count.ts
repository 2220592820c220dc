import type { RandomSource } from "../../runtime/random_source.ts";

/** Draws how many independent events fall into a step in which `mean` are expected. */
export function drawPoissonCount(mean: number, random: RandomSource): number {
  const limit = Math.exp(-mean);
  const draw = (product: number, count: number): number =>
    product <= limit ? count : draw(product * random.next(), count + 1);
  return draw(random.next(), 0);
}
