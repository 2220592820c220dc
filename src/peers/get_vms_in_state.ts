import type { PeersState } from "./peers_state.ts";
import type { VmSightingState } from "./vm_sighting_state.ts";

/**
 * Returns the VMs for which the platform's list showed the wanted state, each
 * with the instant at which a node observed it, in milliseconds since the Unix
 * epoch. A VM is left out if its node started after that instant, since the list
 * is then stale for it. The incarnation of a node is the instant of its start.
 */
export function getVmsInState(
  peers: PeersState,
  wanted: VmSightingState,
): ReadonlyMap<string, number> {
  return new Map(
    [...peers.sightings.values()]
      .filter(({ vm, state, at }) =>
        state === wanted && (peers.records.get(vm)?.incarnation ?? 0) <= at
      )
      .map(({ vm, at }) => [vm, at]),
  );
}
