import { match } from "ts-pattern";
import { avoidUntil } from "../balancing/avoid_until.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { TimerHandle } from "../runtime/timer_handle.ts";
import { CallEventKind } from "./call_event_kind.ts";
import { checkOffer } from "./check_offer.ts";
import type { ContactLossCause } from "../offers/contact_loss_cause.ts";
import { decideUnconfirmedOffer } from "../offers/decide_unconfirmed_offer.ts";
import type { GateOffer } from "./gate_offer.ts";
import { getGateView } from "./get_gate_view.ts";
import type { MeshNode } from "./mesh_node.ts";
import { isNotReceivedForCertain } from "../offers/is_not_received_for_certain.ts";
import type { OfferCheck } from "../offers/offer_check.ts";
import { OfferCheckKind } from "../offers/offer_check_kind.ts";
import { OfferDecisionKind } from "../offers/offer_decision_kind.ts";

/** A node that is not slow confirms within this time that an offer arrived. */
const confirmationTimeoutMilliseconds = 500;
const checkIntervalMilliseconds = 500;
/** Delay of the next connection attempt after one that timed out. */
const reconnectDelayMilliseconds = 100;
/** The next check renews it sooner. */
const avoidMilliseconds = 1_500;

/**
 * Supervises an offer until it is confirmed, found at the other node, or given
 * up. While no confirmation arrives, the other node is queried for the offer, and
 * gets no further ones if others can take them; `onLost` is called once if no
 * answer can be expected.
 */
export function superviseOffer(
  node: MeshNode,
  options: {
    readonly offer: GateOffer;
    readonly address: NetworkAddress;
    /** Whether another attempt may follow if this offer is given up. */
    readonly canRetry: boolean;
    readonly onLost: (
      cause: ContactLossCause,
      /** Whether the call has certainly not run and will not. */
      options: { readonly isNotRun: boolean },
    ) => void;
  },
): { readonly stop: () => void } {
  const { offer, address, canRetry, onLost } = options;
  const { offerIdentifier } = offer;
  const offeredAt = node.clock.now();
  let stopped = false;
  let previous: OfferCheck | undefined;
  let timer = schedule(offeredAt + confirmationTimeoutMilliseconds);

  function schedule(instant: number): TimerHandle {
    return node.timers.at(instant, () => void check());
  }

  async function check(): Promise<void> {
    avoidUntil(
      getGateView(node, offer.identifier),
      node.clock.now() + avoidMilliseconds,
    );
    const found = await checkOffer(node, { address, offerIdentifier });
    if (!stopped) handleCheck(found);
  }

  function handleCheck(found: OfferCheck): void {
    reportCheck(found);
    const decision = decideUnconfirmedOffer(found, { previous, canRetry });
    previous = found;
    match(decision)
      .with({ kind: OfferDecisionKind.Keep }, stop)
      .with({ kind: OfferDecisionKind.CheckAgain }, () => {
        timer = schedule(getNextCheckInstant(found, node.clock.now()));
      })
      .with({ kind: OfferDecisionKind.GiveUp }, ({ cause }) =>
        onLost(cause, {
          isNotRun: isNotReceivedForCertain(found, {
            offeredAt,
            now: node.clock.now(),
          }),
        }))
      .exhaustive();
  }

  function reportCheck(found: OfferCheck): void {
    node.report.call({
      kind: CallEventKind.OfferChecked,
      call: offer.callIdentifier,
      route: offer.route,
      service: offer.service,
      backendServer: offer.identifier,
      outcome: found.kind === OfferCheckKind.Status ? found.status : found.kind,
      elapsedMilliseconds: Math.round(node.clock.now() - offeredAt),
    });
  }

  function stop(): void {
    stopped = true;
    timer.cancel();
  }

  return { stop };
}

function getNextCheckInstant(found: OfferCheck, now: number): number {
  return found.kind === OfferCheckKind.NotConnected
    ? now + reconnectDelayMilliseconds
    : now + checkIntervalMilliseconds;
}
