import type { VmEntry } from "../platform/vm_entry.ts";
import { VmState } from "../platform/vm_state.ts";
import type { PeersState } from "./peers_state.ts";
import type { VmSighting } from "./vm_sighting.ts";
import { VmSightingState } from "./vm_sighting_state.ts";

/**
 * Returns the changes that the platform's VM list, read at the instant `now`,
 * shows: VMs that are leaving, gone, or live again. A change that another node
 * has already observed keeps that node's instant.
 */
export function findSightings(
  state: PeersState,
  listed: ReadonlyMap<string, VmEntry>,
  { now }: { readonly now: number },
): readonly VmSighting[] {
  const candidates = new Set([
    ...listed.keys(),
    ...state.listedVms?.keys() ?? [],
    ...state.sightings.keys(),
  ]);
  return [...candidates]
    .map((vm) => ({ vm, state: getSightingState(listed.get(vm)), at: now }))
    .filter((sighting) =>
      sighting.state !==
        (state.sightings.get(sighting.vm)?.state ?? VmSightingState.Live)
    );
}

function getSightingState(entry: VmEntry | undefined): VmSightingState {
  if (entry === undefined) {
    return VmSightingState.Gone;
  }
  return entry.state === VmState.Leaving
    ? VmSightingState.Leaving
    : VmSightingState.Live;
}
