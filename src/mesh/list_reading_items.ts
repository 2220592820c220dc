import type { SourceItem } from "../source/source_item.ts";
import type { SourceReading } from "../source/source_reading.ts";
import type { MeshView } from "./mesh_view.ts";

/**
 * Returns the items of a reading. With `complete`, keys that the reading lacks
 * are added as removals.
 */
export function listReadingItems(
  view: MeshView,
  reading: SourceReading,
  { complete }: { readonly complete: boolean },
): readonly SourceItem[] {
  if (!complete) return reading.items;
  const present = new Set(reading.items.map(({ key }) => key));
  const removals = [
    ...view.zonesByKey.keys(),
    ...view.serverIdentifiersByKey.keys(),
  ]
    .filter((key) => !present.has(key))
    .map((key) => ({ key, revision: reading.revision, fact: undefined }));
  return [...reading.items, ...removals];
}
