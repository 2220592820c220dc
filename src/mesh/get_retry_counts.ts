import type { RetryCounts } from "../retries/retry_counts.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns the retry window of a service, creating it at first use. */
export function getRetryCounts(node: MeshNode, service: string): RetryCounts {
  const known = node.retryCounts.get(service);
  if (known !== undefined) return known;
  const created: RetryCounts = [];
  node.retryCounts.set(service, created);
  return created;
}
