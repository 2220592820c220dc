import test from "ava";
import { simulateOverload } from "./simulate_overload.ts";

const callersPerSecond = 130;
const seconds = 30;
const slots = 12;
const meanWorkMilliseconds = 160;

/** Callers that the slots can serve in a second. */
const bearablePerSecond = slots * 1_000 / meanWorkMilliseconds;

[1, 2, 3].forEach((seed) =>
  test(`overload of nearly twice what the slots bear, seed ${seed}: who is served is served in time`, (t) => {
    const result = simulateOverload({ seed, callersPerSecond, seconds });
    // The oldest first, the plain order, answers a fifth of these late.
    t.true(result.inTime >= 0.85 * (result.inTime + result.late));
    t.true(result.inTime >= 0.85 * bearablePerSecond * seconds);
    // An eighth of the goal.
    t.true(result.refusalMilliseconds <= 50);
  })
);

test("at half of what the slots bear nobody is refused", (t) => {
  const result = simulateOverload({
    seed: 1,
    callersPerSecond: bearablePerSecond / 2,
    seconds,
  });
  t.is(result.refused, 0);
});
