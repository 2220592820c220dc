import test from "ava";
import { getRefreshWindow } from "./get_refresh_window.ts";

const millisecondsPerSecond = 1_000;

function getChangesPerSecond(nodes: number): number {
  // Each node waits for half of the window on average.
  return nodes / (getRefreshWindow(nodes) / 2 / millisecondsPerSecond);
}

test("getRefreshWindow() limits the changes per second of a fleet of any size", (t) => {
  t.deepEqual([12, 48, 100].map(getChangesPerSecond), [4, 4, 4]);
  [101, 1_200, 12_000].forEach((nodes) =>
    t.true(getChangesPerSecond(nodes) < 1.4)
  );
});
