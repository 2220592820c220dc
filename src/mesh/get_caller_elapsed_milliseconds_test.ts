import test from "ava";
import { getCallerElapsedMilliseconds } from "./get_caller_elapsed_milliseconds.ts";

const longestMilliseconds = 2_500;

function getElapsed(remainingMilliseconds: number): number {
  return getCallerElapsedMilliseconds({
    remainingMilliseconds,
    longestMilliseconds,
  });
}

test("first attempts with slightly different timeouts count as first attempts", (t) => {
  t.deepEqual([2_500, 2_300, 2_130].map(getElapsed), [0, 0, 0]);
});

test("a caller with clearly less time left sent its first attempt earlier by the difference", (t) => {
  const waited = getElapsed(1_500);
  t.true(waited >= 2_500 * 0.85 - 1_500 && waited <= 1_000);
});
