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
  const texts = [
    message.call,
    message.service,
    message.identifier,
    message.callerService,
    message.route,
  ];
  const numbers = [
    message.priority,
    message.remainingMilliseconds,
    message.goalMilliseconds,
    message.waitMilliseconds,
  ];
  const flags = [message.idempotent, message.mayComeBack];
  const limit = message.callsPerSecondLimit;
  const isLimitValid = limit === undefined ||
    (typeof limit === "number" && Number.isFinite(limit) && limit >= 0);
  const isOfferValid = message.offer === undefined ||
    typeof message.offer === "string";
  return isOfferValid && isLimitValid &&
    flags.every((flag) => typeof flag === "boolean") &&
    texts.every((text) => typeof text === "string") &&
    numbers.every((number) => Number.isFinite(number));
}
