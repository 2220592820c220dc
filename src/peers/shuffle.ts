import type { RandomSource } from "../runtime/random_source.ts";

/** Returns `items` in random order. */
export function shuffle<Item>(
  items: readonly Item[],
  random: RandomSource,
): readonly Item[] {
  return items
    .map((item) => ({ item, order: random.next() }))
    .toSorted((left, right) => left.order - right.order)
    .map(({ item }) => item);
}
