import { rescheduleRemovals } from "../register/reschedule_removals.ts";
import type { MeshView } from "./mesh_view.ts";

/**
 * Records since when the source has responded without a failure. Removals that
 * do not count yet wait for it.
 */
export function setSourceAvailableSince(
  view: MeshView,
  options: { readonly sourceAvailableSince: number; readonly now: number },
): void {
  view.sourceAvailableSince = options.sourceAvailableSince;
  rescheduleRemovals(view.register, options);
  view.recordsByService.clear();
}
