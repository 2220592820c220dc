import test from "ava";
import { fifoAdmission } from "./fifo_admission.ts";
import { gateAdmission } from "./gate_admission.ts";
import { simulateOverload } from "./simulate_overload.ts";

const callersPerSecond = 130;
const seconds = 30;
const slots = 12;
const meanServiceMilliseconds = 160;

/** Calls that the slots can serve in a second. */
const capacityPerSecond = slots * 1_000 / meanServiceMilliseconds;

[1, 2, 3].forEach((seed) =>
  test(`at nearly twice the capacity, seed ${seed}: most answers meet the goal and refusals are quick`, (t) => {
    const load = { seed, callersPerSecond, seconds };
    const baseline = simulateOverload({ ...load, admission: fifoAdmission });
    const result = simulateOverload({ ...load, admission: gateAdmission });
    t.true(result.inTime >= 1.15 * baseline.inTime);
    t.true(result.inTime >= 0.85 * (result.inTime + result.late));
    t.true(result.inTime >= 0.85 * capacityPerSecond * seconds);
    // An eighth of the goal of 400 ms.
    t.true(result.meanRefusalMilliseconds <= 50);
  })
);

test("no caller is refused at half of the capacity", (t) => {
  const result = simulateOverload({
    admission: gateAdmission,
    seed: 1,
    callersPerSecond: capacityPerSecond / 2,
    seconds,
  });
  t.is(result.refused, 0);
});
