import test from "ava";
import { setImmediate } from "node:timers/promises";
import { Result } from "true-myth";
import { createRandomSource } from "../runtime/create_random_source.ts";
import { followSource } from "./follow_source.ts";
import { FeedEndKind } from "./feed_end_kind.ts";
import type { NeighbourFeeds } from "./neighbour_feeds.ts";
import type { SourceFailure } from "./source_failure.ts";
import { SourceFailureKind } from "./source_failure_kind.ts";
import type { SourceItem } from "./source_item.ts";
import type { SourceReading } from "./source_reading.ts";

type ReadResult = Result<SourceReading, SourceFailure>;

const item: SourceItem = { key: "k", revision: 2, fact: undefined };
const ok = (
  items: readonly SourceItem[],
  revision: number,
  era = 0,
): ReadResult => Result.ok({ items, era, revision });
const fail = (kind: SourceFailureKind): ReadResult =>
  Result.err({ kind, found: "scripted failure" });

/** Responds to reads from a script and returns the sequence of reads and handler events. */
async function follow(
  script: readonly ReadResult[],
  neighbours?: NeighbourFeeds,
): Promise<readonly string[]> {
  const results = [...script];
  const events: string[] = [];
  let finish = () => {};
  const finished = new Promise<void>((resolve) => {
    finish = resolve;
  });
  function respond(read: string): Promise<ReadResult> {
    const next = results.shift();
    if (next === undefined) {
      finish();
      return new Promise(() => undefined);
    }
    events.push(read);
    return Promise.resolve(next);
  }
  const follower = followSource({
    ...(neighbours === undefined ? {} : { neighbours }),
    client: {
      readAll: () => respond("all"),
      readChanges: ({ revision }, { waitMilliseconds }) =>
        respond(
          waitMilliseconds > 0 ? `after ${revision}` : `at once ${revision}`,
        ),
      readPart: () => Promise.resolve(ok([], 0)),
      readBackendServer: () => Promise.resolve(ok([], 0)),
      close: () => undefined,
    },
    handler: {
      onReadStart: () => undefined,
      onReading: ({ items }, { complete }) =>
        events.push(`${complete ? "complete" : "changes"} ${items.length}`),
      onPartReading: () => undefined,
      onPartFailure: () => undefined,
      onLost: ({ kind }) => events.push(`lost ${kind}`),
      onRegained: () => events.push("regained"),
    },
    random: createRandomSource(1),
    getBounds: () => ({
      changeMilliseconds: 2_000,
      contactMilliseconds: 3_000,
    }),
    wait: async () => {
      await setImmediate();
    },
  });
  await finished;
  follower.stop();
  return events;
}

test("all items are read once, then the changes after the last revision", async (t) => {
  t.deepEqual(await follow([ok([item], 5), ok([item], 7), ok([item], 8)]), [
    "all",
    "regained",
    "complete 1",
    "after 5",
    "changes 1",
    "after 7",
    "changes 1",
  ]);
});

test("an outage is reported once, reads during it do not wait, and changes continue from the last revision", async (t) => {
  t.deepEqual(
    await follow([
      ok([item], 5),
      fail(SourceFailureKind.Unreachable),
      fail(SourceFailureKind.Rejected),
      ok([item], 7),
    ]),
    [
      "all",
      "regained",
      "complete 1",
      "after 5",
      "lost unreachable",
      "at once 5",
      "at once 5",
      "regained",
      "changes 1",
    ],
  );
});

test("lost history causes a full read; a watch without changes does not", async (t) => {
  t.deepEqual(
    await follow([
      ok([item], 5),
      fail(SourceFailureKind.HistoryLost),
      ok([item], 9),
      ok([], 9),
      ok([item], 9),
    ]),
    [
      "all",
      "regained",
      "complete 1",
      "after 5",
      "all",
      "complete 1",
      "after 9",
      "changes 0",
      "after 9",
      "changes 1",
    ],
  );
});

test("a malformed response causes a full read", async (t) => {
  t.deepEqual(
    await follow([
      ok([item], 5),
      fail(SourceFailureKind.Malformed),
      ok([item], 9),
    ]),
    [
      "all",
      "regained",
      "complete 1",
      "after 5",
      "lost malformed",
      "all",
      "regained",
      "complete 1",
    ],
  );
});

test("while large values change often, all items are read instead of the changes", async (t) => {
  const largeChanges: ReadResult = Result.ok({
    items: [item],
    era: 0,
    revision: 7,
    supersededBytes: 1_000_000,
  });
  const events = await follow([
    ok([item], 5),
    largeChanges,
    ok([item], 8),
    ok([item], 9),
    ok([item], 10),
    ok([item], 11),
    ok([item], 12),
  ]);
  t.deepEqual(events.filter((each) => /^(?:all|after)/.test(each)), [
    "all",
    "after 5",
    "all",
    "all",
    "all",
    "all",
    "after 11",
  ]);
});

/** Creates a neighbour that can be followed once, delivers revision 6 and ends with `kind`. */
function createNeighbour(kind: FeedEndKind): NeighbourFeeds {
  let followed = 0;
  return {
    chooseHost: () => followed < 1 ? "10.0.0.1" : undefined,
    hasFollowers: () => false,
    follow: (_host, { onReading }) => {
      followed += 1;
      onReading({ items: [item], era: 0, revision: 6 });
      return Promise.resolve(kind);
    },
    recordOwnRead: () => undefined,
    close: () => undefined,
  };
}

test("a node continues at the source from the revision at which its neighbour's feed ended", async (t) => {
  t.deepEqual(
    await follow(
      [ok([item], 5), ok([item], 7)],
      createNeighbour(FeedEndKind.Lost),
    ),
    [
      "all",
      "regained",
      "complete 1",
      "changes 1",
      "after 6",
      "changes 1",
    ],
  );
});

[FeedEndKind.Gap, FeedEndKind.Stale].forEach((kind) =>
  test(`all items are read once after a feed that ended as ${kind}`, async (t) => {
    t.deepEqual(
      await follow(
        [ok([item], 5), ok([item], 9), ok([item], 10)],
        createNeighbour(kind),
      ),
      [
        "all",
        "regained",
        "complete 1",
        "changes 1",
        "all",
        "complete 1",
        "after 9",
        "changes 1",
      ],
    );
  })
);

test("a watch that returns changes of a later era lacks changes before them, so all items are read", async (t) => {
  t.deepEqual(
    await follow([ok([item], 5), ok([item], 7, 1), ok([item], 8, 1)]),
    ["all", "regained", "complete 1", "after 5", "all", "complete 1"],
  );
});

test("after the first reading of a later era, all items are read a few times more, since heartbeats are no changes", async (t) => {
  const events = await follow([
    ok([item], 5),
    ok([item], 7, 1),
    ok([item], 8, 1),
    ok([item], 8, 1),
    ok([item], 8, 1),
    ok([item], 8, 1),
    ok([item], 9, 1),
  ]);
  t.deepEqual(events.filter((event) => /^(?:all|after)/.test(event)), [
    "all",
    "after 5",
    "all",
    "all",
    "all",
    "all",
    "after 8",
  ]);
});

test("a response of an era that has ended is not applied", async (t) => {
  const events = await follow([
    ok([item], 5, 2),
    ok([item, item], 9, 1),
    ok([item], 6, 2),
  ]);
  t.false(events.includes("changes 2"));
  t.true(events.includes("lost outdated-era"));
});

test("power cut of a zone: a neighbour that is not ready yet is asked again, and the source is read once", async (t) => {
  let refusals = 0;
  const neighbour = createNeighbour(FeedEndKind.Lost);
  const events = await follow([ok([item], 5), ok([item], 9)], {
    ...neighbour,
    chooseHost: () => "10.0.0.1",
    follow: (host, options) => {
      refusals += 1;
      return refusals <= 3
        ? Promise.resolve(FeedEndKind.Refused)
        : neighbour.follow(host, options);
    },
  });
  t.deepEqual(events.slice(0, 5), [
    "all",
    "regained",
    "complete 1",
    "changes 1",
    "at once 6",
  ]);
});

test("a neighbour that keeps refusing is not waited for: the source is read", async (t) => {
  const events = await follow([ok([item], 5), ok([item], 9)], {
    ...createNeighbour(FeedEndKind.Lost),
    chooseHost: () => "10.0.0.1",
    follow: () => Promise.resolve(FeedEndKind.Refused),
  });
  t.is(events.filter((event) => event.startsWith("at once")).length, 1);
});

[FeedEndKind.Gap, FeedEndKind.Stale].forEach((kind) =>
  test(`a node that the source rejects after a feed that ended as ${kind} follows the next neighbour`, async (t) => {
    const first = createNeighbour(kind);
    let followed = 0;
    await follow([ok([item], 5), fail(SourceFailureKind.Rejected)], {
      ...first,
      chooseHost: () => "10.0.0.1",
      follow: (host, options) => {
        followed += 1;
        return followed === 1
          ? first.follow(host, options)
          : Promise.resolve(FeedEndKind.Refused);
      },
    });
    t.true(followed >= 2);
  })
);
