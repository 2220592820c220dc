import { groupRecords } from "./group_records.ts";

/** Returns how many items fall into each group. */
export function countBy<Item>(
  items: readonly Item[],
  getGroup: (item: Item) => string,
): Record<string, number> {
  return Object.fromEntries(
    [...groupRecords(items, getGroup)].map((
      [name, group],
    ) => [name, group.length]),
  );
}
