import { setImmediate } from "node:timers/promises";
import { recordContactFailure } from "../balancing/record_contact_failure.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { TimerHandle } from "../runtime/timer_handle.ts";
import { CallEventKind } from "./call_event_kind.ts";
import { checkOffer } from "./check_offer.ts";
import type { ContactLossCause } from "./contact_loss_cause.ts";
import type { GateOffer } from "./gate_offer.ts";
import { getContactLossCause } from "./get_contact_loss_cause.ts";
import { getGateView } from "./get_gate_view.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferCheck } from "./offer_check.ts";
import { OfferCheckKind } from "./offer_check_kind.ts";
import { OfferStatus } from "./offer_status.ts";

/** A node that is not slow confirms within this time that an offer arrived. */
const confirmationTimeoutMilliseconds = 500;

/**
 * Supervises an offer that was sent until it is confirmed. While no confirmation
 * arrives, the other node is queried for the offer; `onLost` is called once if
 * that shows that no answer will arrive. A node that is only slow or silent
 * keeps the offer, but gets no further ones for a while.
 */
export function superviseOffer(
  node: MeshNode,
  options: {
    readonly offer: GateOffer;
    readonly address: NetworkAddress;
    readonly onLost: (cause: ContactLossCause) => void;
  },
): { readonly stop: () => void } {
  const { offer, address, onLost } = options;
  const offeredAt = node.clock.now();
  let stopped = false;
  let repliedBefore = false;
  let timer = schedule();

  function schedule(): TimerHandle {
    const instant = node.clock.now() + confirmationTimeoutMilliseconds;
    return node.timers.at(instant, () => void check());
  }

  async function check(): Promise<void> {
    // Lets a confirmation be read that arrived before the timer fired.
    await setImmediate();
    if (stopped) return;
    const { callIdentifier } = offer;
    const found = await checkOffer(node, { address, callIdentifier });
    if (!stopped) handleCheck(found);
  }

  function handleCheck(found: OfferCheck): void {
    reportCheck(found);
    const cause = getContactLossCause(found, { repliedBefore });
    if (cause !== undefined) return onLost(cause);
    if (found.kind === OfferCheckKind.NoReply) {
      recordContactFailure(
        getGateView(node, offer.identifier),
        node.clock.now(),
      );
    }
    repliedBefore = getStatus(found) === OfferStatus.Replied;
    timer = schedule();
  }

  function reportCheck(found: OfferCheck): void {
    node.report.call({
      kind: CallEventKind.OfferChecked,
      call: offer.callIdentifier,
      route: offer.route,
      service: offer.service,
      backendServer: offer.identifier,
      outcome: getStatus(found) ?? found.kind,
      elapsedMilliseconds: Math.round(node.clock.now() - offeredAt),
    });
  }

  return {
    stop: () => {
      stopped = true;
      timer.cancel();
    },
  };
}

function getStatus(check: OfferCheck): OfferStatus | undefined {
  return check.kind === OfferCheckKind.Status ? check.status : undefined;
}
