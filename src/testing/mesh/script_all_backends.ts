import type { MeshBackend } from "./mesh_backend.ts";
import type { MeshFleet } from "./mesh_fleet.ts";

/** Sets the behaviour of every backend server of a fleet. */
export function scriptAllBackends(
  fleet: MeshFleet,
  script: MeshBackend["script"],
): void {
  fleet.backends.forEach((backend) => {
    backend.script = script;
  });
}
