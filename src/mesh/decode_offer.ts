import { tryParseJson } from "../daemon/try_parse_json.ts";
import { createOfferIdentifier } from "../offers/create_offer_identifier.ts";
import { isOrganisationName } from "../organisations/is_organisation_name.ts";
import type { GateOffer } from "./gate_offer.ts";
import type { OfferMessage } from "./offer_message.ts";

/**
 * Decodes the offer in a header; returns undefined if the text is not a valid
 * offer. `now` is in milliseconds since the Unix epoch.
 */
export function decodeOffer(
  text: string | undefined,
  now: number,
): GateOffer | undefined {
  if (text === undefined) return undefined;
  const message = tryParseJson(text);
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
  const texts = [
    message.call,
    message.service,
    message.identifier,
    message.callerService,
    message.route,
    message.share ?? "",
  ];
  const numbers = [
    message.priority,
    message.remainingMilliseconds,
    message.goalMilliseconds,
    message.waitMilliseconds,
  ];
  const flags = [
    message.idempotent,
    message.mayComeBack,
    message.nested ?? false,
  ];
  const limit = message.callsPerSecondLimit;
  const isLimitValid = limit === undefined ||
    (typeof limit === "number" && Number.isFinite(limit) && limit >= 0);
  const isOfferValid = message.offer === undefined ||
    typeof message.offer === "string";
  const { organisation } = message;
  const isOrganisationValid = organisation === undefined ||
    (typeof organisation === "string" && isOrganisationName(organisation));
  return isOfferValid && isLimitValid && isOrganisationValid &&
    flags.every((flag) => typeof flag === "boolean") &&
    texts.every((text) => typeof text === "string") &&
    numbers.every((number) => Number.isFinite(number));
}
