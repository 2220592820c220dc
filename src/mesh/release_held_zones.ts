import type { SourcePosition } from "../source/source_position.ts";
import type { MeshView } from "./mesh_view.ts";
import type { ViewChange } from "./view_change.ts";
import { ViewChangeKind } from "./view_change_kind.ts";

/**
 * Returns the zones that were held out of service after the source came back
 * from an older copy, once the operators have had the time to take them out
 * again. Returns the changes.
 */
export function releaseHeldZones(
  view: MeshView,
  { revision }: SourcePosition,
  { now }: { readonly now: number },
): readonly ViewChange[] {
  if (now < view.heldZonesUntil) return [];
  const keys = Array.from(view.heldZoneKeys);
  view.heldZoneKeys.clear();
  return keys.flatMap((key) => {
    const zone = view.zonesByKey.get(key);
    if (zone === undefined) return [];
    view.zonesByKey.delete(key);
    view.zonesTakenOut.delete(zone);
    return [{ kind: ViewChangeKind.ZoneReturned, subject: zone, revision }];
  });
}
