import test from "ava";
import { createSamplePlan } from "../testing/mesh/create_sample_plan.ts";
import { getReturnMilliseconds } from "./get_return_milliseconds.ts";

const now = 1_000_000;

function getReturn(
  change: Parameters<typeof createSamplePlan>[1],
  spread = 0,
): number {
  return getReturnMilliseconds(createSamplePlan(now, change), {
    waitMilliseconds: 100,
    now,
    spread,
  });
}

test("a caller whose goal can still be met comes back when a slot is expected", (t) => {
  t.is(getReturn({}), 100);
});

test("overload: a caller that is late anyway leaves the slots to those in time", (t) => {
  t.is(getReturn({ goalDeadline: now - 1, deadline: now + 1_000 }), 250);
  t.is(getReturn({ goalDeadline: now + 200, deadline: now + 1_000 }), 250);
});

test("a late caller with little time left comes back when a slot is expected", (t) => {
  t.is(getReturn({ goalDeadline: now - 1, deadline: now + 120 }), 100);
});

test("callers that were refused together come back one after the other", (t) => {
  t.true(getReturn({}, 1) > getReturn({}, 0.5));
});
