import type { MeshFleet } from "./mesh_fleet.ts";

/** Returns the number of requests that the backend servers of a fleet began to run. */
export function countRuns(fleet: MeshFleet): number {
  return fleet.backends.reduce((sum, { runs }) => sum + runs.length, 0);
}
