import { trySpendRetry } from "../retries/try_spend_retry.ts";
import { getRetryCounts } from "./get_retry_counts.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Spends the budget for one retry to a service. Returns false if this node's
 * share of the budget is spent.
 */
export function trySpendRetryBudget(node: MeshNode, service: string): boolean {
  return trySpendRetry(getRetryCounts(node, service), {
    allowance: node.settings.retryAllowance,
    // Each registered backend server has one node beside it.
    nodes: node.view.register.size,
    now: node.clock.now(),
  });
}
