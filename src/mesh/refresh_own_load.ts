import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { getGateLoad } from "./get_gate_load.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Brings the view of the backend server of this VM up to date: its gate is known exactly. */
export function refreshOwnLoad(
  node: MeshNode,
  { view }: GateCandidate,
): void {
  view.load = getGateLoad(node);
  view.loadReceivedAt = node.clock.now();
  view.inFlightAtLoad = view.inFlight;
}
