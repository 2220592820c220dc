import test from "ava";
import { getWaitedMilliseconds } from "./get_waited_milliseconds.ts";

const longestMilliseconds = 2_500;

function getWaited(remainingMilliseconds: number): number {
  return getWaitedMilliseconds({ remainingMilliseconds, longestMilliseconds });
}

test("first attempts whose times differ count as first attempts", (t) => {
  t.deepEqual([2_500, 2_300, 2_130].map(getWaited), [0, 0, 0]);
});

test("a caller with clearly less time left has been trying for the difference", (t) => {
  const waited = getWaited(1_500);
  t.true(waited >= 2_500 * 0.85 - 1_500 && waited <= 1_000);
});
