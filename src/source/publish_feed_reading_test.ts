import test from "ava";
import { createSourceFeed } from "./create_source_feed.ts";
import { tryDecodeFeedLine } from "./try_decode_feed_line.ts";
import { tryGetInitialFeedLines } from "./try_get_initial_feed_lines.ts";
import type { SourceFeed } from "./source_feed.ts";
import type { Rules } from "../routing/rules.ts";
import { createSampleLine } from "../testing/mesh/create_sample_line.ts";
import { createSampleRoute } from "../testing/mesh/create_sample_route.ts";
import { createSampleRules } from "../testing/mesh/create_sample_rules.ts";
import { tryCreateSourceItem } from "./try_create_source_item.ts";
import { SourceValueKind } from "./source_value_kind.ts";
import { publishFeedReading } from "./publish_feed_reading.ts";

const staleMilliseconds = 1_500;

/** Publishes a reading with `count` items. */
function publish(
  feed: SourceFeed,
  revision: number,
  { now = 0, found = "x", count = 1, bytesMaximum = 10_000 } = {},
): void {
  const items = Array.from({ length: count }, () => ({
    key: `key-${revision}`,
    revision,
    fact: { kind: SourceValueKind.Foreign, found } as const,
  }));
  const reading = { items, era: 0, revision };
  publishFeedReading(feed, reading, { rules: undefined, now, bytesMaximum });
}

function describeLine(text: string): string {
  const line = tryDecodeFeedLine(text);
  if (line === undefined) return "invalid";
  if (line.gap) return "gap";
  return line.items.at(0)?.key ?? `at ${line.revision}`;
}

function getInitialLines(
  feed: SourceFeed,
  after: number,
  now = 0,
): readonly string[] | undefined {
  return tryGetInitialFeedLines(feed, {
    after: { era: 0, revision: after },
    now,
    staleMilliseconds,
  })
    ?.trimEnd().split("\n").map(describeLine);
}

/** Subscribes to the feed and returns the received lines, as they arrive. */
function subscribe(feed: SourceFeed): readonly string[] {
  const received: string[] = [];
  feed.subscribers.add({
    write: (text) => received.push(describeLine(text)),
    end: () => received.push("end"),
  });
  return received;
}

test("a neighbour receives exactly the changes that it lacks", (t) => {
  const feed = createSourceFeed();
  publish(feed, 5);
  publish(feed, 6);
  publish(feed, 7);
  t.deepEqual(getInitialLines(feed, 5), ["key-6", "key-7"]);
  t.deepEqual(getInitialLines(feed, 6), ["key-7"]);
  t.deepEqual(getInitialLines(feed, 7), ["at 7"]);
  t.deepEqual(getInitialLines(feed, 9), ["at 9"]);
});

test("a feed continues only from revisions after which it is complete", (t) => {
  const feed = createSourceFeed();
  t.is(getInitialLines(feed, 5), undefined);
  publish(feed, 5);
  publish(feed, 6);
  t.is(getInitialLines(feed, 4), undefined);
  t.deepEqual(getInitialLines(feed, 5), ["key-6"]);
  Array.from({ length: 100 }, (_, index) => publish(feed, 7 + index));
  t.is(getInitialLines(feed, 5), undefined);
  t.deepEqual(getInitialLines(feed, 105), ["key-106"]);
});

test("a stale feed is not served", (t) => {
  const feed = createSourceFeed();
  publish(feed, 5, { now: 1_000 });
  t.deepEqual(getInitialLines(feed, 5, 2_400), ["at 5"]);
  t.is(getInitialLines(feed, 5, 2_500), undefined);
});

test("subscribers receive a line for each source response, including one without changes", (t) => {
  const feed = createSourceFeed();
  publish(feed, 5);
  const received = subscribe(feed);
  publish(feed, 6);
  publish(feed, 6, { count: 0 });
  t.deepEqual(received, ["key-6", "at 6"]);
});

test("changes above the size limit end the streams with a gap, and the feed continues after them", (t) => {
  const feed = createSourceFeed();
  publish(feed, 5);
  const received = subscribe(feed);
  publish(feed, 6, { bytesMaximum: 500 });
  publish(feed, 7, { bytesMaximum: 500, found: "x".repeat(1_000) });
  t.deepEqual(received, ["key-6", "gap", "end"]);
  t.is(getInitialLines(feed, 6), undefined);
  t.deepEqual(getInitialLines(feed, 7), ["at 7"]);
});

test("a change beyond the revision of its reading still reaches neighbours that continue from that revision", (t) => {
  const feed = createSourceFeed();
  // The second page was read after the source had reached revision 7.
  publishFeedReading(feed, {
    items: [{ key: "ahead", revision: 7, fact: undefined }],
    era: 0,
    revision: 5,
  }, { rules: undefined, now: 0, bytesMaximum: 10_000 });
  t.deepEqual(getInitialLines(feed, 6), ["at 6"]);
  const received = subscribe(feed);
  publishFeedReading(feed, {
    items: [{ key: "ahead", revision: 7, fact: undefined }],
    era: 0,
    revision: 7,
  }, { rules: undefined, now: 0, bytesMaximum: 10_000 });
  t.deepEqual(received, ["ahead"]);
});

test("storm of versions over narrow links: many changed routes reach every neighbour in a line within the limit", (t) => {
  const feed = createSourceFeed();
  const rules = createRules(1);
  publishFeedReading(feed, { items: [], era: 0, revision: 5 }, {
    rules,
    now: 0,
    bytesMaximum: 9_000,
  });
  const received: string[] = [];
  feed.subscribers.add({
    write: (text) => void received.push(text),
    end: () => undefined,
  });
  const next = createRules(2);
  publishFeedReading(feed, {
    items: [{
      key: "rules",
      revision: 6,
      fact: { kind: SourceValueKind.Rules, rules: next },
    }],
    era: 0,
    revision: 6,
  }, { rules, now: 0, bytesMaximum: 9_000 });
  t.is(feed.subscribers.size, 1);
  const [item] = tryDecodeFeedLine(received[0]!)!.items;
  const decoded = tryCreateSourceItem(item!, { rules, readAt: 0 });
  t.deepEqual(decoded?.fact, { kind: SourceValueKind.Rules, rules: next });
});

/** Creates rules with 120 routes, whose targets depend on the version. */
function createRules(version: number): Rules {
  const routes = Array.from({ length: 120 }, (_, index) =>
    createSampleRoute({
      name: `route-${index}`,
      pathPrefix: `/path-${index}/`,
      targets: [{ service: `service-${version}`, weight: 1 }],
    }));
  return createSampleRules({ version, routes });
}

test("text that is not a valid line is rejected", (t) => {
  [
    '{"packed":1}',
    '{"packed":"AAAA"}',
    '{"packed":"!"}',
    "",
    "{",
    "null",
    "[]",
    '{"sentAt":1}',
    '{"sentAt":1,"ageMilliseconds":"2"}',
  ]
    .forEach((text) => t.is(tryDecodeFeedLine(text), undefined));
});

test("a neighbour whose view is of another era cannot follow, whatever its revision", (t) => {
  const feed = createSourceFeed();
  publish(feed, 5);
  const after = { era: 1, revision: 5 };
  t.is(
    tryGetInitialFeedLines(feed, { after, now: 0, staleMilliseconds }),
    undefined,
  );
});

test("the first reading of a later era ends the streams, since its changes do not continue the earlier ones", (t) => {
  const feed = createSourceFeed();
  publish(feed, 5);
  let ended = false;
  feed.subscribers.add({
    write: () => undefined,
    end: () => {
      ended = true;
    },
  });
  publishFeedReading(feed, { items: [], era: 1, revision: 3 }, {
    rules: undefined,
    now: 0,
    bytesMaximum: 10_000,
  });
  t.true(ended);
  t.is(feed.subscribers.size, 0);
  const after = { era: 1, revision: 3 };
  t.not(
    tryGetInitialFeedLines(feed, { after, now: 0, staleMilliseconds }),
    undefined,
  );
});

test("a feed states the age of the rules on the last of its first lines only, which completes them", (t) => {
  const feed = createSourceFeed();
  [1, 2, 3].forEach((revision) =>
    publishFeedReading(feed, {
      items: [{ key: "k", revision, fact: undefined }],
      era: 0,
      revision,
    }, {
      rules: undefined,
      now: revision,
      bytesMaximum: 10_000,
      rulesAgeMilliseconds: 7,
    })
  );
  const lines = tryGetInitialFeedLines(feed, {
    after: { era: 0, revision: 1 },
    now: 10,
    staleMilliseconds: 1_000,
    rulesAgeMilliseconds: 40,
  });
  t.deepEqual(
    lines?.trim().split("\n").map((line) =>
      JSON.parse(line).rulesAgeMilliseconds
    ),
    [undefined, 40],
  );
});

test("a line without the age of the rules, as nodes of earlier versions send it, is valid", (t) => {
  const { rulesAgeMilliseconds: _, ...line } = createSampleLine();
  t.like(tryDecodeFeedLine(JSON.stringify(line)), {
    rulesAgeMilliseconds: undefined,
  });
});
