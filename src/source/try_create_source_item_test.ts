import test from "ava";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createSampleLine } from "../testing/mesh/create_sample_line.ts";
import { createFeedItem } from "./create_feed_item.ts";
import { tryDecodeFeedLine } from "./try_decode_feed_line.ts";
import { encodeFeedLine } from "./encode_feed_line.ts";
import type { SourceValue } from "./source_value.ts";
import { SourceValueKind } from "./source_value_kind.ts";
import type { SourceItem } from "./source_item.ts";
import { tryCreateSourceItem } from "./try_create_source_item.ts";

const now = 1_000_000;

/** Encodes an item and decodes it at a neighbour whose clock is one hour ahead. */
function sendToNeighbour(
  fact: SourceValue | undefined,
): SourceItem | undefined {
  const item = { key: "k", revision: 7, fact };
  const items = [createFeedItem(item, { rules: undefined, now })];
  const line = tryDecodeFeedLine(encodeFeedLine(createSampleLine({ items })));
  const readAt = now + 3_600_000;
  return tryCreateSourceItem(line!.items[0]!, { rules: undefined, readAt });
}

test("each kind of item is unchanged after transfer to a neighbour", (t) => {
  const facts: readonly (SourceValue | undefined)[] = [
    undefined,
    { kind: SourceValueKind.ZoneTakenOut, zone: "sul-a" },
    { kind: SourceValueKind.Foreign, found: "unknown key" },
    { kind: SourceValueKind.BackendServer, entry: createSampleEntry() },
  ];
  facts.forEach((fact) =>
    t.deepEqual(sendToNeighbour(fact), { key: "k", revision: 7, fact })
  );
});

test("the end of a cold start is computed with the receiver's clock", (t) => {
  const entry = createSampleEntry({ coldUntil: now + 2_000 });
  const item = sendToNeighbour({ kind: SourceValueKind.BackendServer, entry });
  const coldUntil = item?.fact?.kind === SourceValueKind.BackendServer
    ? item.fact.entry.coldUntil
    : 0;
  t.is(coldUntil, now + 3_600_000 + 2_000);
});
