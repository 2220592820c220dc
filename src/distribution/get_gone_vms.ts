import type { PeersState } from "../peers/peers_state.ts";

/**
 * Returns the VMs that are no longer on the platform's list, with the instant
 * at which a node saw that. A VM whose node has started since is not gone,
 * even while the list still lags.
 */
export function getGoneVms(peers: PeersState): ReadonlyMap<string, number> {
  return new Map(
    [...peers.sightings.values()]
      .filter(({ vm, listed, at }) =>
        !listed && (peers.records.get(vm)?.incarnation ?? 0) <= at
      )
      .map(({ vm, at }) => [vm, at]),
  );
}
