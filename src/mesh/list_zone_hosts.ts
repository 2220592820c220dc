import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the hosts of this availability zone whose backend servers are
 * registered and not draining. A node runs beside each of them.
 */
export function listZoneHosts(node: MeshNode): readonly string[] {
  return Array.from(node.view.register.values())
    .filter(({ entry, removedAt }) =>
      removedAt === 0 && entry.zone === node.settings.zone &&
      entry.availability === BackendServerAvailability.Ready
    )
    .map(({ entry }) => entry.address.host);
}
