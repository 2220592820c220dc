import { hasDeparted } from "../register/has_departed.ts";
import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { isRemovalConfirmed } from "../register/is_removal_confirmed.ts";
import { getGateView } from "./get_gate_view.ts";
import { getRecordsOfService } from "./get_records_of_service.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the backend servers of a service that may receive calls: not
 * draining or about to leave, not confirmed as removed, and not in a zone that is
 * taken out.
 */
export function listCandidates(
  node: MeshNode,
  service: string,
): readonly GateCandidate[] {
  const now = node.clock.now();
  const { zonesTakenOut } = node.view;
  return getRecordsOfService(node.view, service)
    .filter((record) =>
      record.entry.availability === BackendServerAvailability.Ready &&
      !zonesTakenOut.has(record.entry.zone) &&
      !hasDeparted(node.departures, record.entry) &&
      !isRemovalConfirmed(record, now)
    )
    .map(({ entry, removedAt }) => ({
      entry,
      view: getGateView(node, entry.identifier),
      isRemoved: removedAt > 0,
    }));
}
