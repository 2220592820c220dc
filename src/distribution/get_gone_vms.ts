import type { PeersState } from "../peers/peers_state.ts";

/** Returns the VMs that are no longer on the platform's list, with the instant at which a node saw that. */
export function getGoneVms(peers: PeersState): ReadonlyMap<string, number> {
  return new Map(
    [...peers.sightings.values()]
      .filter(({ listed }) => !listed)
      .map(({ vm, at }) => [vm, at]),
  );
}
