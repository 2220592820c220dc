import type { Version } from "../../src/configuration/version.ts";
import type { FleetSimulation } from "./fleet_simulation.ts";

/** Returns every version that was in force on a VM, over all incarnations of its node, in order. */
export function getVersionHistory(
  simulation: FleetSimulation,
  vm: string,
): readonly Version[] {
  const applied = simulation.fleet.getNode(vm)?.applied ?? [];
  return [
    ...(simulation.history.get(vm) ?? []),
    ...applied.map((snapshot) => snapshot.version),
  ];
}
