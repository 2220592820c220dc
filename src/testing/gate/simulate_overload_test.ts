import test from "ava";
import { plainAdmission } from "./plain_admission.ts";
import { productAdmission } from "./product_admission.ts";
import { simulateOverload } from "./simulate_overload.ts";

const callersPerSecond = 130;
const seconds = 30;
const slots = 12;
const meanWorkMilliseconds = 160;

/** Callers that the slots can serve in a second. */
const bearablePerSecond = slots * 1_000 / meanWorkMilliseconds;

[1, 2, 3].forEach((seed) =>
  test(`overload of nearly twice what the slots bear, seed ${seed}: who is served is served in time`, (t) => {
    const load = { seed, callersPerSecond, seconds };
    const plain = simulateOverload({ ...load, admission: plainAdmission });
    const result = simulateOverload({ ...load, admission: productAdmission });
    t.true(result.inTime >= 1.15 * plain.inTime);
    t.true(result.inTime >= 0.85 * (result.inTime + result.late));
    t.true(result.inTime >= 0.85 * bearablePerSecond * seconds);
    // An eighth of the goal.
    t.true(result.refusalMilliseconds <= 50);
  })
);

test("at half of what the slots bear nobody is refused", (t) => {
  const result = simulateOverload({
    admission: productAdmission,
    seed: 1,
    callersPerSecond: bearablePerSecond / 2,
    seconds,
  });
  t.is(result.refused, 0);
});
