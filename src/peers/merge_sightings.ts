import { pickBest } from "../collections/pick_best.ts";
import type { PeersState } from "./peers_state.ts";
import { sendsOfChange } from "./sends_of_change.ts";
import type { VmSighting } from "./vm_sighting.ts";

/** Takes over the sightings that are later than those held, and marks them to be passed on. */
export function mergeSightings(
  state: PeersState,
  sightings: readonly VmSighting[],
): PeersState {
  const later = pickBest(sightings, {
    getKey: ({ vm }) => vm,
    replaces: (sighting, other) => sighting.at > other.at,
  }).filter((sighting) =>
    sighting.at > (state.sightings.get(sighting.vm)?.at ?? -Infinity)
  );
  return later.length === 0 ? state : {
    ...state,
    sightings: new Map([
      ...state.sightings,
      ...later.map((sighting) => [sighting.vm, sighting] as const),
    ]),
    sightingSends: new Map([
      ...state.sightingSends,
      ...later.map(({ vm }) => [vm, sendsOfChange] as const),
    ]),
  };
}
