import { match } from "ts-pattern";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { requestSlot } from "../gate/request_slot.ts";
import { SlotDecisionKind } from "../gate/slot_decision_kind.ts";
import { adoptStatedLimit } from "./adopt_stated_limit.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallRequest } from "./call_request.ts";
import type { CallSignal } from "./call_signal.ts";
import { createOfferRefusal } from "./create_offer_refusal.ts";
import { createQuarantineOfferRefusal } from "./create_quarantine_offer_refusal.ts";
import type { GateOffer } from "./gate_offer.ts";
import { getGateLoad } from "./get_gate_load.ts";
import { confirmOfferedIdentifier } from "./confirm_offered_identifier.ts";
import { createFingerprintGetter } from "./create_fingerprint_getter.ts";
import { getQuarantineMilliseconds } from "./get_quarantine_milliseconds.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { runAdmittedOffer } from "./run_admitted_offer.ts";
import { unavailableRetryMilliseconds } from "./unavailable_retry_milliseconds.ts";
import { waitForSlot } from "./wait_for_slot.ts";

/**
 * Offers a call to the backend server of this VM: requests a slot, then sends
 * the request.
 */
export async function offerToOwnServer(
  node: MeshNode,
  request: CallRequest,
  options: { readonly offer: GateOffer; readonly signal: CallSignal },
): Promise<OfferOutcome> {
  const { offer, signal } = options;
  if (signal.aborted) {
    const reason = RefusalReason.CallerLeft;
    return createOfferRefusal(node, { reason, retryMilliseconds: 0 });
  }
  if (offer.service !== node.settings.service) {
    return createOfferRefusal(node, {
      reason: RefusalReason.BackendServerUnknown,
      retryMilliseconds: unavailableRetryMilliseconds,
    });
  }
  if (node.offers.withdrawn.has(offer.offerIdentifier)) {
    const reason = RefusalReason.OfferWithdrawn;
    return createOfferRefusal(node, { reason, retryMilliseconds: 0 });
  }
  confirmOfferedIdentifier(node, offer);
  adoptStatedLimit(node, offer);
  const offeredAt = node.clock.now();
  const getFingerprint = createFingerprintGetter(request, offer);
  const retryMilliseconds = getQuarantineMilliseconds(node, getFingerprint);
  if (retryMilliseconds > 0) {
    return createQuarantineOfferRefusal(node, { retryMilliseconds });
  }
  const runOffer = () =>
    runAdmittedOffer(node, request, { ...options, getFingerprint, offeredAt });
  const decision = requestSlot(node.gate, { ...offer, getFingerprint }, {
    now: offeredAt,
  });
  return await match(decision)
    .with({ kind: SlotDecisionKind.Granted }, runOffer)
    .with(
      { kind: SlotDecisionKind.Refused },
      (refused) => createOfferRefusal(node, refused),
    )
    .with({ kind: SlotDecisionKind.Queued }, async () => {
      reportQueued(node, offer);
      const { offerIdentifier } = offer;
      return await waitForSlot(node, { offerIdentifier, signal }) ??
        await runOffer();
    })
    .exhaustive();
}

function reportQueued(node: MeshNode, offer: GateOffer): void {
  const { running, queued, slots } = getGateLoad(node);
  node.report.call({
    kind: CallEventKind.Queued,
    call: offer.callIdentifier,
    route: offer.route,
    service: offer.service,
    running,
    queued,
    slots,
  });
}
