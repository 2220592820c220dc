import { createServiceLoad } from "../balancing/create_service_load.ts";
import type { ServiceLoad } from "../balancing/service_load.ts";
import { getOrCreate } from "../collections/get_or_create.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns what this node knows of the load of a service; creates it on first use. */
export function getServiceLoad(node: MeshNode, service: string): ServiceLoad {
  return getOrCreate(node.serviceLoads, service, { create: createServiceLoad });
}
