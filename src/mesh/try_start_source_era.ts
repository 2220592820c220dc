import type { SourcePosition } from "../source/source_position.ts";
import type { MeshView } from "./mesh_view.ts";
import { setSourceAvailableSince } from "./set_source_available_since.ts";
import type { ViewChange } from "./view_change.ts";
import { ViewChangeKind } from "./view_change_kind.ts";

/**
 * Time in which operators write again what the source lost. A zone that is
 * returned too late costs capacity; one that is returned too early gets work
 * although it is out of service.
 */
const rewriteMilliseconds = 5_000;

/**
 * Prepares the view for the first reading of a later era, in which the source
 * has come back from an older copy. Returns the change, or nothing if the era is
 * the one in force.
 *
 * Revisions start again, removed entries of backend servers count as after an
 * outage, and zones that were taken out stay so for a while.
 */
export function tryStartSourceEra(
  view: MeshView,
  { era, revision }: SourcePosition,
  { now }: { readonly now: number },
): readonly ViewChange[] {
  const previousEra = view.sourceEra;
  view.sourceEra = era;
  if (previousEra === undefined || previousEra === era) return [];
  view.revisions.clear();
  setSourceAvailableSince(view, { sourceAvailableSince: now, now });
  Array.from(view.zonesByKey.keys())
    .forEach((key) => view.heldZoneKeys.add(key));
  view.heldZonesUntil = now + rewriteMilliseconds;
  return [{
    kind: ViewChangeKind.SourceEraStarted,
    subject: String(era),
    revision,
  }];
}
