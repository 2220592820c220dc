import type { SourceReading } from "../source/source_reading.ts";
import { publishFeedReading } from "../source/publish_feed_reading.ts";
import { getStatedRulesAgeMilliseconds } from "./get_stated_rules_age_milliseconds.ts";
import { listReadingItems } from "./list_reading_items.ts";
import { listZoneHosts } from "./list_zone_hosts.ts";
import type { MeshNode } from "./mesh_node.ts";

const bitsPerByte = 8;
const bitsPerMegabit = 1_000_000;
/**
 * Share of the link's capacity that one reading may use, in seconds of
 * transmission to all other nodes of the zone. It is limited since calls use the
 * same link.
 */
const linkSeconds = 0.2;

/**
 * Sends the changes of a reading to the subscribers of this node's feed. Must be
 * called before the reading is applied to the view, since the changes are
 * computed against the view in force. With `complete`, keys that the reading
 * lacks are sent as removals. The reading must have confirmed the rules before.
 */
export function publishReading(
  node: MeshNode,
  reading: SourceReading,
  { complete }: { readonly complete: boolean },
): void {
  const { feed, view, settings } = node;
  const items = listReadingItems(view, reading, { complete });
  // Counts all other nodes of the zone, not only the subscribers, since a node
  // that is about to follow the feed receives the latest changes too.
  const otherNodeCount = Math.max(1, listZoneHosts(node).length - 1);
  const linkBytesPerSecond = settings.linkMegabitsPerSecond * bitsPerMegabit /
    bitsPerByte;
  publishFeedReading(feed, { ...reading, items }, {
    rules: view.rules,
    now: node.clock.now(),
    rulesAgeMilliseconds: getStatedRulesAgeMilliseconds(node),
    bytesMaximum: linkBytesPerSecond * linkSeconds / otherNodeCount,
  });
}
