import { getOrCreate } from "../collections/get_or_create.ts";
import type { RetryCounts } from "../retries/retry_counts.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns the retry counts of a service; creates them on first use. */
export function getRetryCounts(node: MeshNode, service: string): RetryCounts {
  return getOrCreate(node.retryCounts, service, { create: () => [] });
}
