/** Returns the items by the group name that `getGroupName` returns, in order of first appearance. */
export function groupItems<Item>(
  items: readonly Item[],
  getGroupName: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  items.forEach((item) => {
    const group = groups.get(getGroupName(item));
    group === undefined
      ? groups.set(getGroupName(item), [item])
      : group.push(item);
  });
  return groups;
}
