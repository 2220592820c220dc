import test from "ava";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createSampleLine } from "../testing/mesh/create_sample_line.ts";
import { createFeedItem } from "./create_feed_item.ts";
import { decodeFeedLine } from "./decode_feed_line.ts";
import { encodeFeedLine } from "./encode_feed_line.ts";
import type { SourceFact } from "./source_fact.ts";
import { SourceFactKind } from "./source_fact_kind.ts";
import type { SourceItem } from "./source_item.ts";
import { tryReadFeedItem } from "./try_read_feed_item.ts";

const now = 1_000_000;

/** Encodes an item and decodes it at a neighbour whose clock is one hour ahead. */
function sendToNeighbour(fact: SourceFact | undefined): SourceItem | undefined {
  const item = { key: "k", revision: 7, fact };
  const items = [createFeedItem(item, { rules: undefined, now })];
  const line = decodeFeedLine(encodeFeedLine(createSampleLine({ items })));
  const readAt = now + 3_600_000;
  return tryReadFeedItem(line!.items[0]!, { rules: undefined, readAt });
}

test("each kind of item is unchanged after transfer to a neighbour", (t) => {
  const facts: readonly (SourceFact | undefined)[] = [
    undefined,
    { kind: SourceFactKind.ZoneTakenOut, zone: "sul-a" },
    { kind: SourceFactKind.Foreign, found: "unknown key" },
    { kind: SourceFactKind.BackendServer, entry: createSampleEntry() },
  ];
  facts.forEach((fact) =>
    t.deepEqual(sendToNeighbour(fact), { key: "k", revision: 7, fact })
  );
});

test("the end of a cold start is computed with the receiver's clock", (t) => {
  const entry = createSampleEntry({ coldUntil: now + 2_000 });
  const item = sendToNeighbour({ kind: SourceFactKind.BackendServer, entry });
  const coldUntil = item?.fact?.kind === SourceFactKind.BackendServer
    ? item.fact.entry.coldUntil
    : 0;
  t.is(coldUntil, now + 3_600_000 + 2_000);
});
