import test from "ava";
import { createVirtualTime } from "./create_virtual_time.ts";

test("createVirtualTime() runs timers in order of their instants, and promises settle between them", async (t) => {
  const time = createVirtualTime(1000);
  const seen: string[] = [];
  const record = (name: string) => seen.push(`${name}@${time.clock.now()}`);
  time.timers.at(1020, () => record("second"));
  time.timers.at(1010, async () => {
    record("first");
    await Promise.resolve();
    time.timers.at(1015, () => record("set by the first"));
  });
  time.timers.at(1020, () => record("third"));
  time.timers.at(1018, () => record("cancelled")).cancel();
  time.timers.at(1030, () => record("not yet due"));
  await time.advanceTo(1025);
  t.deepEqual(seen, [
    "first@1010",
    "set by the first@1015",
    "second@1020",
    "third@1020",
  ]);
  t.is(time.clock.now(), 1025);
});

test("createVirtualTime() never moves the clock back", async (t) => {
  const time = createVirtualTime(1000);
  await time.advanceTo(900);
  t.is(time.clock.now(), 1000);
  time.timers.at(500, () => {});
  await time.advanceTo(1001);
  t.is(time.clock.now(), 1001);
});
