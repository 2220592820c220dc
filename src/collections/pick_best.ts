/**
 * Returns one item for each key: the one that replaces all others of that key.
 * The choice does not depend on the order of `items`.
 */
export function pickBest<Key, Item>(
  items: readonly Item[],
  options: {
    readonly getKey: (item: Item) => Key;
    /** Whether `item` is preferred to `other`, which has the same key. */
    readonly replaces: (item: Item, other: Item) => boolean;
  },
): readonly Item[] {
  const best = new Map<Key, Item>();
  items.forEach((item) => {
    const key = options.getKey(item);
    const other = best.get(key);
    if (other === undefined || options.replaces(item, other)) {
      best.set(key, item);
    }
  });
  return [...best.values()];
}
