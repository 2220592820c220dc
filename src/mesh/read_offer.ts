import { createOfferIdentifier } from "../offers/create_offer_identifier.ts";
import { isOrganisationName } from "../organisations/is_organisation_name.ts";
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
    organisation: message.organisation,
    idempotent: message.idempotent,
    priority: message.priority,
    deadline: now + message.remainingMilliseconds,
    goalDeadline: now + message.goalMilliseconds,
    waitDeadline: now + message.waitMilliseconds,
    mayComeBack: message.mayComeBack,
    shareKey: message.share ?? message.callerService,
    isNested: message.nested ?? false,
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
  const { organisation } = message;
  const isOrganisationValid = organisation === undefined ||
    (typeof organisation === "string" && isOrganisationName(organisation));
  const isShareValid = message.share === undefined ||
    typeof message.share === "string";
  const isNestedValid = message.nested === undefined ||
    typeof message.nested === "boolean";
  return isOfferValid && isLimitValid && isOrganisationValid &&
    isShareValid && isNestedValid &&
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
