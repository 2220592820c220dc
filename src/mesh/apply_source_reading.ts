import { deleteExpiredRecords } from "../register/delete_expired_records.ts";
import type { SourceReading } from "../source/source_reading.ts";
import { applySourceItem } from "./apply_source_item.ts";
import { isHeartbeat } from "./is_heartbeat.ts";
import { listReadingItems } from "./list_reading_items.ts";
import type { MeshView } from "./mesh_view.ts";
import { releaseHeldZones } from "./release_held_zones.ts";
import { tryStartSourceEra } from "./try_start_source_era.ts";
import type { ViewChange } from "./view_change.ts";

/**
 * Applies the items of a reading to the view and returns the changes.
 *
 * The rules are replaced as a whole and never by an older version. With
 * `complete`, keys that the reading lacks count as removed. A reading of an
 * outdated era changes nothing.
 */
export function applySourceReading(
  view: MeshView,
  reading: SourceReading,
  options: { readonly complete: boolean; readonly now: number },
): readonly ViewChange[] {
  const { now } = options;
  if (reading.era < (view.sourceEra ?? reading.era)) return [];
  const eraChanges = tryStartSourceEra(view, reading, { now });
  const startsEra = eraChanges.length > 0;
  const heldChanges = releaseHeldZones(view, reading, { now });
  const items = listReadingItems(view, reading, options);
  const isChange = startsEra || heldChanges.length > 0 ||
    items.some((item) => !isHeartbeat(view, item));
  const changes = items.flatMap((item) => {
    if (item.revision < (view.revisions.get(item.key) ?? 0)) return [];
    view.revisions.set(item.key, item.revision);
    return applySourceItem(view, item, { now, startsEra }).map((change) => ({
      ...change,
      revision: item.revision,
    }));
  });
  deleteExpiredRecords(view.register, now);
  view.recordsByService.clear();
  if (isChange) view.candidatesVersion += 1;
  return [...eraChanges, ...heldChanges, ...changes];
}
