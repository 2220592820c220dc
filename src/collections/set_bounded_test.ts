import test from "ava";
import { setBounded } from "./set_bounded.ts";

// Guards against a map that grows with the number of its writes.
test("the key that was set longest ago is deleted first", (t) => {
  const map = new Map<string, number>();
  const set = (key: string) =>
    setBounded(map, { key, value: 0, sizeMaximum: 2 });
  ["a", "b", "a", "c"].forEach(set);
  t.deepEqual(Array.from(map.keys()), ["a", "c"]);
});
