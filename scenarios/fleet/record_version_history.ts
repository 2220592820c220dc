import type { FleetSimulation } from "./fleet_simulation.ts";

/** Moves what the running node of a VM has put in force into the VM's history, before the node is gone. */
export function recordVersionHistory(
  simulation: FleetSimulation,
  vm: string,
): void {
  const applied = simulation.fleet.getNode(vm)?.applied ?? [];
  const earlier = simulation.history.get(vm) ?? [];
  simulation.history.set(vm, [
    ...earlier,
    ...applied.map((snapshot) => snapshot.version),
  ]);
}
