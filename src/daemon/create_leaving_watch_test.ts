import test from "ava";
import { createVirtualTime } from "../testing/create_virtual_time.ts";
import { createLeavingWatch } from "./create_leaving_watch.ts";

test("createLeavingWatch() reports each change within a second, and none after stop()", async (t) => {
  const time = createVirtualTime(0);
  const changes: boolean[] = [];
  let leaving = false;
  const watch = createLeavingWatch({
    environment: { clock: time.clock, timers: time.timers } as Parameters<
      typeof createLeavingWatch
    >[0]["environment"],
    isLeaving: () => leaving,
    onChange: (change) => changes.push(change),
  });
  watch.start();
  await time.advanceTo(2_000);
  t.deepEqual(changes, []);
  leaving = true;
  await time.advanceTo(3_000);
  leaving = false;
  await time.advanceTo(4_000);
  t.deepEqual(changes, [true, false]);
  watch.stop();
  leaving = true;
  await time.advanceTo(9_000);
  t.deepEqual(changes, [true, false]);
});
