import type { SourceReading } from "../source/source_reading.ts";
import { publishFeedReading } from "../source/publish_feed_reading.ts";
import { listReadingItems } from "./list_reading_items.ts";
import { listZoneHosts } from "./list_zone_hosts.ts";
import type { MeshNode } from "./mesh_node.ts";

const bitsPerByte = 8;
const bitsPerMegabit = 1_000_000;
/** Time for which a reading may use the link, since calls share it. */
const linkSeconds = 0.2;

/**
 * Sends the changes of a reading to the neighbours. Must be called before the
 * reading is applied to the view.
 */
export function publishReading(
  node: MeshNode,
  reading: SourceReading,
  { complete }: { readonly complete: boolean },
): void {
  const { feed, view, settings } = node;
  const items = listReadingItems(view, reading, { complete });
  // Counts all neighbours of the zone, since those about to follow receive the
  // latest changes too.
  const neighbours = Math.max(1, listZoneHosts(node).length - 1);
  const linkBytesPerSecond = settings.linkMegabitsPerSecond * bitsPerMegabit /
    bitsPerByte;
  publishFeedReading(feed, { items, revision: reading.revision }, {
    rules: view.rules,
    now: node.clock.now(),
    bytesMaximum: linkBytesPerSecond * linkSeconds / neighbours,
  });
}
