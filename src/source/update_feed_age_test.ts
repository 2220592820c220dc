import test from "ava";
import { createSampleLine } from "../testing/mesh/create_sample_line.ts";
import type { FeedAge } from "./feed_age.ts";
import { updateFeedAge } from "./update_feed_age.ts";

const clockAheadMilliseconds = 3_600_000;

function createAge(): FeedAge {
  return {
    confirmedAt: Number.NEGATIVE_INFINITY,
    minimumClockOffset: Number.POSITIVE_INFINITY,
  };
}

function applyLine(
  age: FeedAge,
  line: { readonly sent: number; readonly now: number; readonly old?: number },
): number {
  const feedLine = createSampleLine({
    sentAt: line.sent + clockAheadMilliseconds,
    ageMilliseconds: line.old ?? 0,
  });
  updateFeedAge(age, feedLine, { now: line.now });
  return age.confirmedAt;
}

test("the age of a line does not depend on the sender's clock", (t) => {
  t.is(applyLine(createAge(), { sent: 100, now: 101, old: 40 }), 61);
});

test("a delay in transit adds to the age of a line", (t) => {
  const age = createAge();
  applyLine(age, { sent: 100, now: 101 });
  t.is(applyLine(age, { sent: 1_000, now: 1_801 }), 1_001);
});

test("the time for which a sender was suspended with its clock stopped adds to the age of a line", (t) => {
  const age = createAge();
  applyLine(age, { sent: 100, now: 101 });
  t.is(applyLine(age, { sent: 200, now: 5_201 }), 201);
});

test("a line that confirms an earlier instant does not change the confirmed instant", (t) => {
  const age = createAge();
  applyLine(age, { sent: 1_000, now: 1_001 });
  t.is(applyLine(age, { sent: 1_100, now: 1_101, old: 900 }), 1_001);
});
