import test from "ava";
import { createSampleLine } from "../testing/mesh/create_sample_line.ts";
import type { FeedAge } from "./feed_age.ts";
import { noteFeedLine } from "./note_feed_line.ts";

/** The sender's clock is an hour ahead. */
const ahead = 3_600_000;

function createAge(): FeedAge {
  return {
    confirmedAt: Number.NEGATIVE_INFINITY,
    leastOffset: Number.POSITIVE_INFINITY,
  };
}

function note(
  age: FeedAge,
  line: { readonly sent: number; readonly now: number; readonly old?: number },
): number {
  const sample = createSampleLine({
    sentAt: line.sent + ahead,
    ageMilliseconds: line.old ?? 0,
  });
  noteFeedLine(age, sample, { now: line.now });
  return age.confirmedAt;
}

test("a line is as current as its sender said, whatever the sender's clock shows", (t) => {
  t.is(note(createAge(), { sent: 100, now: 101, old: 40 }), 61);
});

test("a line that was held up on the way is that much older", (t) => {
  const age = createAge();
  note(age, { sent: 100, now: 101 });
  t.is(note(age, { sent: 1_000, now: 1_801 }), 1_001);
});

test("a sender that was suspended, and whose clock stood still, looks old", (t) => {
  const age = createAge();
  note(age, { sent: 100, now: 101 });
  t.is(note(age, { sent: 200, now: 5_201 }), 201);
});

test("an older line takes back nothing", (t) => {
  const age = createAge();
  note(age, { sent: 1_000, now: 1_001 });
  t.is(note(age, { sent: 1_100, now: 1_101, old: 900 }), 1_001);
});
