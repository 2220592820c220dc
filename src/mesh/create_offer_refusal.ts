import type { RefusalReason } from "../calls/refusal_reason.ts";
import { getGateLoad } from "./get_gate_load.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";

/** Creates this node's refusal of an offer, with the load of its gate. */
export function createOfferRefusal(
  node: MeshNode,
  refusal: {
    readonly reason: RefusalReason;
    readonly retryMilliseconds: number;
    /**
     * Whether the backend server itself rejected the request; defaults to
     * false.
     */
    readonly reachedBackendServer?: boolean;
  },
): OfferOutcome {
  return {
    kind: OfferOutcomeKind.Refused,
    reason: refusal.reason,
    retryMilliseconds: refusal.retryMilliseconds,
    reachedBackendServer: refusal.reachedBackendServer ?? false,
    load: getGateLoad(node),
  };
}
