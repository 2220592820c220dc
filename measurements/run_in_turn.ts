/** Runs `work` for each item, one after another, and resolves with the results in order. */
export function runInTurn<Item, Value>(
  items: readonly Item[],
  work: (item: Item, index: number) => Promise<Value>,
): Promise<readonly Value[]> {
  return items.reduce<Promise<readonly Value[]>>(
    async (earlier, item, index) => {
      const done = await earlier;
      return [...done, await work(item, index)];
    },
    Promise.resolve([]),
  );
}
