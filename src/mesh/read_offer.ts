import { createOfferIdentifier } from "../offers/create_offer_identifier.ts";
import type { GateOffer } from "./gate_offer.ts";
import type { OfferMessage } from "./offer_message.ts";

/**
 * Reads the message of an offer; returns undefined if decoded JSON is not a
 * valid one. `now` is in milliseconds since the Unix epoch.
 */
export function readOffer(
  message: unknown,
  now: number,
): GateOffer | undefined {
  if (!isOfferMessage(message)) return undefined;
  return {
    callIdentifier: message.call,
    offerIdentifier: message.offer ?? createOfferIdentifier(),
    service: message.service,
    identifier: message.identifier,
    callerService: message.callerService,
    route: message.route,
    idempotent: message.idempotent,
    priority: message.priority,
    deadline: now + message.remainingMilliseconds,
    goalDeadline: now + message.goalMilliseconds,
    waitDeadline: now + message.waitMilliseconds,
    mayComeBack: message.mayComeBack,
    callsPerSecondLimit: message.callsPerSecondLimit,
  };
}

function isOfferMessage(input: unknown): input is OfferMessage {
  if (typeof input !== "object" || input === null) return false;
  const message = input as Partial<Record<keyof OfferMessage, unknown>>;
  const limit = message.callsPerSecondLimit;
  const isLimitValid = limit === undefined ||
    (typeof limit === "number" && Number.isFinite(limit) && limit >= 0);
  const isOfferValid = message.offer === undefined ||
    typeof message.offer === "string";
  return isOfferValid && isLimitValid &&
    typeof message.idempotent === "boolean" &&
    typeof message.mayComeBack === "boolean" &&
    typeof message.call === "string" &&
    typeof message.service === "string" &&
    typeof message.identifier === "string" &&
    typeof message.callerService === "string" &&
    typeof message.route === "string" &&
    Number.isFinite(message.priority) &&
    Number.isFinite(message.remainingMilliseconds) &&
    Number.isFinite(message.goalMilliseconds) &&
    Number.isFinite(message.waitMilliseconds);
}
