import type { PeersState } from "./peers_state.ts";
import type { VmSightingState } from "./vm_sighting_state.ts";

/**
 * Returns the VMs that the list of the platform showed in a state, with the
 * instant at which a node observed it, in milliseconds since the Unix epoch. A
 * VM whose node has started since is left out, since the list is stale for it.
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
