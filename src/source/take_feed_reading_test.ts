import test from "ava";
import { createSourceFeed } from "./create_source_feed.ts";
import { decodeFeedLine } from "./decode_feed_line.ts";
import { getFeedStart } from "./get_feed_start.ts";
import type { SourceFeed } from "./source_feed.ts";
import { SourceFactKind } from "./source_fact_kind.ts";
import { takeFeedReading } from "./take_feed_reading.ts";

const staleMilliseconds = 1_500;

/** Takes a reading that tells one change; none where `count` is 0. */
function take(
  feed: SourceFeed,
  revision: number,
  { now = 0, found = "x", count = 1, bytesMaximum = 10_000 } = {},
): void {
  const items = Array.from({ length: count }, () => ({
    key: `key-${revision}`,
    revision,
    fact: { kind: SourceFactKind.Foreign, found } as const,
  }));
  const reading = { items, revision };
  takeFeedReading(feed, reading, { rules: undefined, now, bytesMaximum });
}

function describeLine(text: string): string {
  const line = decodeFeedLine(text);
  if (line === undefined) return "nonsense";
  if (line.gap) return "gap";
  return line.items.at(0)?.key ?? `at ${line.revision}`;
}

function start(
  feed: SourceFeed,
  after: number,
  now = 0,
): readonly string[] | undefined {
  return getFeedStart(feed, { after, now, staleMilliseconds })
    ?.trimEnd().split("\n").map(describeLine);
}

/** Follows the feed and returns what is seen of it. */
function subscribe(feed: SourceFeed): readonly string[] {
  const seen: string[] = [];
  feed.subscribers.add({
    write: (text) => seen.push(describeLine(text)),
    end: () => seen.push("end"),
  });
  return seen;
}

test("a neighbour gets the changes that it lacks, and no others", (t) => {
  const feed = createSourceFeed();
  take(feed, 5);
  take(feed, 6);
  take(feed, 7);
  t.deepEqual(start(feed, 5), ["key-6", "key-7"]);
  t.deepEqual(start(feed, 6), ["key-7"]);
  t.deepEqual(start(feed, 7), ["at 7"]);
  t.deepEqual(start(feed, 9), ["at 9"]);
});

test("a feed goes on only from where it is complete", (t) => {
  const feed = createSourceFeed();
  t.is(start(feed, 5), undefined);
  take(feed, 5);
  take(feed, 6);
  t.is(start(feed, 4), undefined);
  t.deepEqual(start(feed, 5), ["key-6"]);
  Array.from({ length: 100 }, (_, index) => take(feed, 7 + index));
  t.is(start(feed, 5), undefined);
  t.deepEqual(start(feed, 105), ["key-106"]);
});

test("a view that is too old is not passed on", (t) => {
  const feed = createSourceFeed();
  take(feed, 5, { now: 1_000 });
  t.deepEqual(start(feed, 5, 2_400), ["at 5"]);
  t.is(start(feed, 5, 2_500), undefined);
});

test("those who follow hear of each answer of the source, also of one without changes", (t) => {
  const feed = createSourceFeed();
  take(feed, 5);
  const seen = subscribe(feed);
  take(feed, 6);
  take(feed, 6, { count: 0 });
  t.deepEqual(seen, ["key-6", "at 6"]);
});

test("what is too much for the link is read from the source by each, who goes on from there", (t) => {
  const feed = createSourceFeed();
  take(feed, 5);
  const seen = subscribe(feed);
  take(feed, 6, { bytesMaximum: 500 });
  take(feed, 7, { bytesMaximum: 500, found: "x".repeat(1_000) });
  t.deepEqual(seen, ["key-6", "gap", "end"]);
  t.is(start(feed, 6), undefined);
  t.deepEqual(start(feed, 7), ["at 7"]);
});

test("a change that a reading held ahead of its revision still reaches those who began there", (t) => {
  const feed = createSourceFeed();
  // The second page was read when the source had gone on to revision 7.
  takeFeedReading(feed, {
    items: [{ key: "ahead", revision: 7, fact: undefined }],
    revision: 5,
  }, { rules: undefined, now: 0, bytesMaximum: 10_000 });
  t.deepEqual(start(feed, 6), ["at 6"]);
  const seen = subscribe(feed);
  takeFeedReading(feed, {
    items: [{ key: "ahead", revision: 7, fact: undefined }],
    revision: 7,
  }, { rules: undefined, now: 0, bytesMaximum: 10_000 });
  t.deepEqual(seen, ["ahead"]);
});

test("text that is no line of a feed is told apart", (t) => {
  ["", "{", "null", "[]", '{"sentAt":1}', '{"sentAt":1,"ageMilliseconds":"2"}']
    .forEach((text) => t.is(decodeFeedLine(text), undefined));
});
