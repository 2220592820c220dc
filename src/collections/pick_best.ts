/** Keeps of the items with one key the one that replaces the others, whatever their order. */
export function pickBest<Key, Item>(
  items: readonly Item[],
  options: {
    readonly getKey: (item: Item) => Key;
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
