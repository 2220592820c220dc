import type { MeshFleet } from "./mesh_fleet.ts";
import type { MeshFleetOptions } from "./mesh_fleet_options.ts";
import { startMeshFleet } from "./start_mesh_fleet.ts";

/** Starts a fleet, runs a test on it and closes it, also if the test fails. */
export async function withMeshFleet(
  options: MeshFleetOptions,
  run: (fleet: MeshFleet) => Promise<void>,
): Promise<void> {
  const fleet = await startMeshFleet(options);
  try {
    await run(fleet);
  } finally {
    await fleet.close();
  }
}
