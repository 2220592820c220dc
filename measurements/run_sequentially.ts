/** Runs `work` for each item, one after another, and resolves with the results in the order of the items. */
export function runSequentially<Item, Value>(
  items: readonly Item[],
  work: (item: Item, index: number) => Promise<Value>,
): Promise<readonly Value[]> {
  return items.reduce<Promise<readonly Value[]>>(
    async (previous, item, index) => {
      const results = await previous;
      return [...results, await work(item, index)];
    },
    Promise.resolve([]),
  );
}
