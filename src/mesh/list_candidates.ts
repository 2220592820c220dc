import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { hasDeparted } from "../register/has_departed.ts";
import { getServiceCandidates } from "./get_service_candidates.ts";
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
  const { all } = getServiceCandidates(node, service);
  if (node.departures.size === 0) return all;
  return all.filter(({ entry }) => !hasDeparted(node.departures, entry));
}
