import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { isRemovalConfirmed } from "../register/is_removal_confirmed.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the hosts whose nodes may grant tokens, sorted: those of all
 * registered backend servers that do not drain, since their VMs may end soon.
 */
export function listQuotaHosts(node: MeshNode): readonly string[] {
  const now = node.clock.now();
  const hosts = Array.from(node.view.register.values())
    .filter((record) =>
      record.entry.availability === BackendServerAvailability.Ready &&
      !isRemovalConfirmed(record, now)
    )
    .map(({ entry }) => entry.address.host);
  return Array.from(new Set(hosts)).sort();
}
