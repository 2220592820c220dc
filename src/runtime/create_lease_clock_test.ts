import test from "ava";
import { createLeaseClock } from "./create_lease_clock.ts";

function createFixture() {
  const times = { steady: 1_000, timeOfDay: 50_000 };
  const clock = createLeaseClock({
    steady: { now: () => times.steady },
    timeOfDay: { now: () => times.timeOfDay },
  });
  return { times, clock };
}

test("a suspension that the steady clock does not count advances the clock", (t) => {
  const { times, clock } = createFixture();
  const before = clock.now();
  times.timeOfDay += 3_000;
  t.is(clock.now() - before, 3_000);
  times.steady += 100;
  times.timeOfDay += 100;
  t.is(clock.now() - before, 3_100);
});

test("a time of day that is set back does not hold the clock back", (t) => {
  const { times, clock } = createFixture();
  const before = clock.now();
  times.timeOfDay -= 60_000;
  times.steady += 500;
  t.is(clock.now() - before, 500);
  times.timeOfDay += 2_000;
  t.is(clock.now() - before, 2_500);
});

test("rounded times of day do not make the clock fast", (t) => {
  const { times, clock } = createFixture();
  const before = clock.now();
  Array.from({ length: 1_000 }, (_, index) => {
    times.steady += 1.3;
    times.timeOfDay = 50_000 + Math.floor((index + 1) * 1.3);
    return clock.now();
  });
  t.true(Math.abs(clock.now() - before - 1_300) < 0.001);
});
