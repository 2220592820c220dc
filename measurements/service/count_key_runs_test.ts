import test from "ava";
import { countKeyRuns } from "./count_key_runs.ts";

test("countKeyRuns() counts a key that ran on two backend servers as run twice", (t) => {
  t.deepEqual(
    countKeyRuns([{ keys: { a: 1, b: 1 } }, { keys: { b: 1, c: 2 } }]),
    { keysRun: 3, keysRunTwice: 2 },
  );
});
