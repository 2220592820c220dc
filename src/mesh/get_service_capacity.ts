import { createServiceCapacity } from "../capacity/create_service_capacity.ts";
import type { ServiceCapacity } from "../capacity/service_capacity.ts";
import { getOrCreate } from "../collections/get_or_create.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns what this node knows of the room at a service; creates it on first use. */
export function getServiceCapacity(
  node: MeshNode,
  service: string,
): ServiceCapacity {
  return getOrCreate(node.capacities, service, {
    create: createServiceCapacity,
  });
}
