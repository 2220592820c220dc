import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { getGateView } from "./get_gate_view.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Lists the backend servers of a service that may take work: not draining and not in a zone taken out. */
export function listCandidates(
  node: MeshNode,
  service: string,
): readonly GateCandidate[] {
  return Array.from(node.view.register.values())
    .filter(({ entry }) =>
      entry.service === service &&
      entry.availability === BackendServerAvailability.Ready &&
      !node.view.zonesTakenOut.has(entry.zone)
    )
    .map(({ entry, vanishedAt }) => ({
      entry,
      view: getGateView(node, entry.identifier),
      vanished: vanishedAt > 0,
    }));
}
