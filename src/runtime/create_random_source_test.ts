import test from "ava";
import { createRandomSource } from "./create_random_source.ts";

test("createRandomSource() repeats its numbers for a seed and keeps them within range", (t) => {
  const take = (seed: number) => {
    const source = createRandomSource(seed);
    return Array.from({ length: 1000 }, () => source.next());
  };
  t.deepEqual(take(7), take(7));
  t.notDeepEqual(take(7), take(8));
  t.true(take(7).every((number) => number >= 0 && number < 1));
  const mean = take(7).reduce((sum, number) => sum + number, 0) / 1000;
  t.true(mean > 0.45 && mean < 0.55);
});
