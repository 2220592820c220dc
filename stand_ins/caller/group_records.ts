/** Returns the items by the group that `getGroup` names, in order of first appearance. */
export function groupRecords<Item>(
  items: readonly Item[],
  getGroup: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  items.forEach((item) => {
    const group = groups.get(getGroup(item));
    group === undefined ? groups.set(getGroup(item), [item]) : group.push(item);
  });
  return groups;
}
