import { createHolderState } from "../../quotas/create_holder_state.ts";
import type { QuotaFleet, QuotaFleetNode } from "./quota_fleet.ts";

/** Kills the process of a node; the next one has no memory. */
export function restartQuotaNode(
  fleet: QuotaFleet,
  node: QuotaFleetNode,
  { afterMilliseconds }: { readonly afterMilliseconds: number },
): void {
  node.startsAt = fleet.now + afterMilliseconds;
  node.stopsAt = Number.POSITIVE_INFINITY;
  node.version = undefined;
  node.confirmedAt = Number.NEGATIVE_INFINITY;
  node.granter = undefined;
  node.holder = createHolderState(fleet.now);
  node.pending = undefined;
  node.waitingCalls = 0;
}
