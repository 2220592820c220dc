/** Groups `items` by key; each group keeps the order of `items`. */
export function groupBy<Key, Item>(
  items: Iterable<Item>,
  getKey: (item: Item) => Key,
): ReadonlyMap<Key, readonly Item[]> {
  const groups = new Map<Key, Item[]>();
  [...items].forEach((item) => {
    const key = getKey(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [item]);
    } else {
      group.push(item);
    }
  });
  return groups;
}
