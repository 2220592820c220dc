import type { SourceReading } from "../source/source_reading.ts";
import { takeFeedReading } from "../source/take_feed_reading.ts";
import { listReadingItems } from "./list_reading_items.ts";
import { listZoneHosts } from "./list_zone_hosts.ts";
import type { MeshNode } from "./mesh_node.ts";

const bitsPerByte = 8;
const bitsPerMegabit = 1_000_000;
/** Calls share the link with what is passed on. */
const linkSeconds = 0.2;

/** Passes on to the neighbours what a reading of the source tells anew; to be called before the view takes it over. */
export function publishReading(
  node: MeshNode,
  reading: SourceReading,
  { complete }: { readonly complete: boolean },
): void {
  const { feed, view, settings } = node;
  const items = listReadingItems(view, reading, { complete });
  // Those that are about to follow get the latest changes too.
  const neighbours = Math.max(1, listZoneHosts(node).length - 1);
  const linkBytesPerSecond = settings.linkMegabitsPerSecond * bitsPerMegabit /
    bitsPerByte;
  takeFeedReading(feed, { items, revision: reading.revision }, {
    rules: view.rules,
    now: node.clock.now(),
    bytesMaximum: linkBytesPerSecond * linkSeconds / neighbours,
  });
}
