import { groupItems } from "./group_items.ts";

/** Returns the number of items in each group, by group name. */
export function countBy<Item>(
  items: readonly Item[],
  getGroupName: (item: Item) => string,
): Record<string, number> {
  return Object.fromEntries(
    [...groupItems(items, getGroupName)].map((
      [name, group],
    ) => [name, group.length]),
  );
}
