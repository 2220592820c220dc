import { pickBest } from "../collections/pick_best.ts";
import type { PeersState } from "./peers_state.ts";
import { sendsPerChange } from "./sends_per_change.ts";
import type { VmSighting } from "./vm_sighting.ts";

/**
 * Merges the sightings that are later than the stored ones, and schedules them
 * to be passed on.
 */
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
    remainingSightingSends: new Map([
      ...state.remainingSightingSends,
      ...later.map(({ vm }) => [vm, sendsPerChange] as const),
    ]),
  };
}
