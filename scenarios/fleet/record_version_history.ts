import type { FleetWorld } from "./fleet_simulation.ts";

/** Moves what the running node of a VM has put in force into the VM's history, before the node is gone. */
export function noteHistory(world: FleetWorld, vm: string): void {
  const applied = world.fleet.getNode(vm)?.applied ?? [];
  const earlier = world.history.get(vm) ?? [];
  world.history.set(vm, [
    ...earlier,
    ...applied.map((snapshot) => snapshot.version),
  ]);
}
