import test from "ava";
import { tryCreateLineReading } from "../mesh/try_create_line_reading.ts";
import { createSourceFeed } from "./create_source_feed.ts";
import { publishFeedPart } from "./publish_feed_part.ts";
import { publishFeedReading } from "./publish_feed_reading.ts";
import type { SourceReading } from "./source_reading.ts";
import { SourceValueKind } from "./source_value_kind.ts";
import { tryDecodeFeedLine } from "./try_decode_feed_line.ts";

const confirmedAt = 100;
const position = { era: 1, revision: 5 };

function createReading(revision: number, era = 1): SourceReading {
  return {
    era,
    revision,
    items: [{
      key: `key-${revision}`,
      revision,
      fact: { kind: SourceValueKind.Foreign, found: "x" },
    }],
  };
}

/** A feed at revision 5 with one subscriber, and the lines that it received after that. */
function createFollowedFeed() {
  const feed = createSourceFeed();
  publishFeedReading(feed, createReading(5), {
    rules: undefined,
    now: confirmedAt,
    bytesMaximum: 10_000,
  });
  const lines: string[] = [];
  feed.subscribers.add({
    write: (text) => void lines.push(text),
    end: () => undefined,
  });
  return { feed, lines };
}

// Guards against a neighbour that takes the changes of a part for all changes,
// and then misses the rules that were written between them.
test("a neighbour applies the changes of a part and stays at its position", (t) => {
  const { feed, lines } = createFollowedFeed();
  publishFeedPart(feed, createReading(9), { now: confirmedAt + 700 });
  const line = tryDecodeFeedLine(lines[0]!)!;
  t.is(line.ageMilliseconds, 700);
  t.is(line.rulesAgeMilliseconds, undefined);
  const reading = tryCreateLineReading(line, {
    after: position,
    rules: undefined,
    now: 0,
  });
  t.is(reading?.revision, 5);
  t.deepEqual(reading?.items.map(({ key }) => key), ["key-9"]);
});

test("the next reading of the whole source has the changes of the part again", (t) => {
  const { feed, lines } = createFollowedFeed();
  publishFeedPart(feed, createReading(9), { now: confirmedAt });
  publishFeedReading(feed, createReading(9), {
    rules: undefined,
    now: confirmedAt,
    bytesMaximum: 10_000,
  });
  const keys = lines.map((line) => tryDecodeFeedLine(line)?.items[0]?.key);
  t.deepEqual(keys, ["key-9", "key-9"]);
});

test("changes of another era, and those that neighbours have, are not sent", (t) => {
  const { feed, lines } = createFollowedFeed();
  publishFeedPart(feed, createReading(9, 2), { now: confirmedAt });
  publishFeedPart(feed, createReading(4), { now: confirmedAt });
  publishFeedPart(createSourceFeed(), createReading(9), { now: confirmedAt });
  t.deepEqual(lines, []);
});
