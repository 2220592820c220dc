import type { MeasureContext } from "./measure_context.ts";
import { runSequentially } from "./run_sequentially.ts";

/** Runs the cases of a measure sequentially; a quick run runs them concurrently, so that it ends within a minute. */
export function runCases<Item, Value>(
  items: readonly Item[],
  context: MeasureContext,
  work: (item: Item) => Promise<Value>,
): Promise<readonly Value[]> {
  return context.quick
    ? Promise.all(items.map(work))
    : runSequentially(items, work);
}
