import test from "ava";
import { mapConcurrently } from "./map_concurrently.ts";

test("more items than allowed are not mapped at once, and each is mapped once and in order", async (t) => {
  let running = 0;
  let runningMaximum = 0;
  const items = Array.from({ length: 20 }, (_, index) => index);
  const results = await mapConcurrently(items, {
    concurrency: 3,
    map: async (item) => {
      running += 1;
      runningMaximum = Math.max(runningMaximum, running);
      await new Promise((resolve) => setTimeout(resolve, item % 4));
      running -= 1;
      return item * 2;
    },
  });
  t.is(runningMaximum, 3);
  t.deepEqual(results, items.map((item) => item * 2));
});
