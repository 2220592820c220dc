import test from "ava";
import { createRandomSource } from "./create_random_source.ts";

test("createRandomSource() returns the same numbers for the same seed, uniformly distributed from 0 to 1", (t) => {
  const generate = (seed: number) => {
    const source = createRandomSource(seed);
    return Array.from({ length: 1000 }, () => source.next());
  };
  t.deepEqual(generate(7), generate(7));
  t.notDeepEqual(generate(7), generate(8));
  t.true(generate(7).every((number) => number >= 0 && number < 1));
  const mean = generate(7).reduce((sum, number) => sum + number, 0) / 1000;
  t.true(mean > 0.45 && mean < 0.55);
});
