import { createDistributionFleet } from "../../src/testing/create_distribution_fleet.ts";
import type { FleetWorld } from "./fleet_simulation.ts";

const seed = 11;
const vms = 12;
const zones = 3;

/** Creates twelve VMs in three zones; no node has started. */
export function createFleetWorld(): FleetWorld {
  const world: FleetWorld = {
    fleet: createDistributionFleet({ vms, zones, seed }),
    zones,
    history: new Map(),
    reader: undefined,
    rules: [],
  };
  world.fleet.network.setScript((message) =>
    world.rules
      .map((rule) => rule(message))
      .find((delivery) => delivery !== undefined) ?? {}
  );
  return world;
}
