import type { GateOffer } from "./gate_offer.ts";
import type { OfferMessage } from "./offer_message.ts";

const nonAsciiPattern = /[^ -~]/g;

/**
 * Encodes an offer as the value of its header. `now` is in milliseconds since
 * the Unix epoch.
 */
export function encodeOffer(offer: GateOffer, now: number): string {
  const message: OfferMessage = {
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
  return escapeNonAscii(JSON.stringify(message));
}

/** Names may contain characters that a header cannot. */
function escapeNonAscii(text: string): string {
  return text.replace(
    nonAsciiPattern,
    (unit) => `\\u${unit.charCodeAt(0).toString(16).padStart(4, "0")}`,
  );
}
