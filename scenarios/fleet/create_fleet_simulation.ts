import { createDistributionFleet } from "../../src/testing/create_distribution_fleet.ts";
import type { FleetSimulation } from "./fleet_simulation.ts";

const seed = 11;
const vms = 12;
const zones = 3;

/** Creates a fleet of twelve VMs in three zones; no node has started. */
export function createFleetSimulation(): FleetSimulation {
  const simulation: FleetSimulation = {
    fleet: createDistributionFleet({ vms, zones, seed }),
    zones,
    history: new Map(),
    connectedReader: undefined,
    rules: [],
  };
  simulation.fleet.network.setScript((message) =>
    simulation.rules
      .map((rule) => rule(message))
      .find((delivery) => delivery !== undefined) ?? {}
  );
  return simulation;
}
