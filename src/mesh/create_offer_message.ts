import type { GateOffer } from "./gate_offer.ts";
import type { OfferMessage } from "./offer_message.ts";

/** Creates the message of an offer. `now` is in milliseconds since the Unix epoch. */
export function createOfferMessage(
  offer: GateOffer,
  now: number,
): OfferMessage {
  return {
    call: offer.callIdentifier,
    offer: offer.offerIdentifier,
    service: offer.service,
    identifier: offer.identifier,
    callerService: offer.callerService,
    route: offer.route,
    idempotent: offer.idempotent,
    priority: offer.priority,
    remainingMilliseconds: Math.round(offer.deadline - now),
    goalMilliseconds: Math.round(offer.goalDeadline - now),
    waitMilliseconds: Math.round(offer.waitDeadline - now),
    mayComeBack: offer.mayComeBack,
    ...(offer.organisation === undefined
      ? {}
      : { organisation: offer.organisation }),
    ...(offer.shareKey === offer.callerService
      ? {}
      : { share: offer.shareKey }),
    ...(offer.isNested ? { nested: true } : {}),
    ...(offer.callsPerSecondLimit === undefined
      ? {}
      : { callsPerSecondLimit: offer.callsPerSecondLimit }),
  };
}
