import type { Rules } from "../routing/rules.ts";
import type { FeedLine } from "../source/feed_line.ts";
import type { SourcePosition } from "../source/source_position.ts";
import type { SourceReading } from "../source/source_reading.ts";
import { tryCreateSourceItem } from "../source/try_create_source_item.ts";

/**
 * Returns the items of a neighbour's line that are newer than the position
 * `after`; undefined if this node has to read the source itself.
 */
export function tryCreateLineReading(
  line: FeedLine,
  options: {
    readonly after: SourcePosition;
    /** The rules in force at this node, to which changes of rules are applied. */
    readonly rules: Rules | undefined;
    /** In milliseconds since the Unix epoch. */
    readonly now: number;
  },
): SourceReading | undefined {
  const { after, rules, now } = options;
  if (line.gap || line.era !== after.era) return undefined;
  const readAt = now - line.heldMilliseconds;
  const items = line.items
    .filter(({ revision }) => revision > after.revision)
    .map((item) => tryCreateSourceItem(item, { rules, readAt }));
  const decodedItems = items.filter((item) => item !== undefined);
  return decodedItems.length < items.length ? undefined : {
    items: decodedItems,
    era: line.era,
    revision: Math.max(after.revision, line.revision),
  };
}
