import { hashText } from "../hashing/hash_text.ts";

/**
 * Returns `names` ordered by rendezvous hashing for `key`, highest weight
 * first. Removing a name does not reorder the others, so nodes with nearly the
 * same names agree on nearly the same order.
 */
export function rankByRendezvous(
  key: string,
  names: readonly string[],
): readonly string[] {
  return names
    .map((name) => ({ name, weight: hashText(`${key}/${name}`) }))
    .toSorted((left, right) =>
      right.weight - left.weight || (left.name < right.name ? -1 : 1)
    )
    .map(({ name }) => name);
}
