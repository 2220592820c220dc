import type { Version } from "../../src/configuration/version.ts";
import type { FleetWorld } from "./fleet_simulation.ts";

/** Returns every version that was in force on a VM, over all its starts, in order. */
export function getHistory(world: FleetWorld, vm: string): readonly Version[] {
  const applied = world.fleet.getNode(vm)?.applied ?? [];
  return [
    ...(world.history.get(vm) ?? []),
    ...applied.map((snapshot) => snapshot.version),
  ];
}
