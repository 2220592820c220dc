import type { FleetSimulation } from "./fleet_simulation.ts";

/** Appends the versions that a VM's running node has put in force to the history, before the node is killed or restarted. */
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
