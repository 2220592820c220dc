import { RefusalReason } from "../calls/refusal_reason.ts";
import { createOfferRefusal } from "./create_offer_refusal.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";

/** Creates this node's refusal of an offer whose request is quarantined. */
export function createQuarantineOfferRefusal(
  node: MeshNode,
  { retryMilliseconds }: { readonly retryMilliseconds: number },
): OfferOutcome {
  const reason = RefusalReason.RequestQuarantined;
  return createOfferRefusal(node, { reason, retryMilliseconds });
}
