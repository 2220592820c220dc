/**
 * Maps the items with an asynchronous function that runs at most `concurrency`
 * times at once. Returns the results in the order of the items.
 */
export async function mapConcurrently<Item, Mapped>(
  items: readonly Item[],
  options: {
    readonly concurrency: number;
    readonly map: (item: Item) => Promise<Mapped>;
  },
): Promise<readonly Mapped[]> {
  const results = new Array<Mapped>(items.length);
  const remaining = items.entries();
  const lanes = Array.from({ length: options.concurrency }, async () => {
    // The lanes share the iterator, so each item is taken once.
    for (const [index, item] of remaining) {
      results[index] = await options.map(item);
    }
  });
  await Promise.all(lanes);
  return results;
}
