import { match } from "ts-pattern";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { CallEventKind } from "../mesh/call_event_kind.ts";
import { OfferCheckKind } from "../offers/offer_check_kind.ts";
import { OfferStatus } from "../offers/offer_status.ts";
import { describeOfferLoss } from "./describe_offer_loss.ts";
import { describeRefusalReason } from "./describe_refusal_reason.ts";
import type { LogLine } from "./log_line.ts";

const endKinds: ReadonlySet<string> = new Set([
  CallEventKind.Answered,
  CallEventKind.Refused,
  CallEventKind.Abandoned,
  CallEventKind.InternalError,
]);

/** What the values of `outcome` on a line `offer-checked` say of the other node. */
const checkTexts: Readonly<
  Record<OfferStatus | Exclude<OfferCheckKind, OfferCheckKind.Status>, string>
> = {
  [OfferStatus.Held]: "still held the call",
  [OfferStatus.Ended]: "had ended the offer already",
  [OfferStatus.NotReceived]: "had not received the call",
  [OfferCheckKind.NoReply]: "did not reply to a query",
  [OfferCheckKind.Rejected]: "was not running",
  [OfferCheckKind.NotConnected]: "could not be reached",
  [OfferCheckKind.NotSupported]: "is of an earlier version",
};
const checkTextsByValue: ReadonlyMap<string, string> = new Map(
  Object.entries(checkTexts),
);

/**
 * Describes how a call ended and why, in one line. `lines` are its log lines in
 * order of time. Parts that no line tells are left out, since nodes log a
 * sample of the successful calls and a limited number of lines.
 */
export function describeCallCause(lines: readonly LogLine[]): string {
  const end = lines.findLast(({ kind }) => endKinds.has(kind));
  const parts = match(end)
    .with(undefined, () => [
      "unknown, no log line has the end of the call",
      ...describeLastPlace(lines),
    ])
    .with({ kind: CallEventKind.Answered }, (line) => [
      `answered with status ${line.details["status"]} by ` +
      `${line.details["backendServer"]}${formatElapsed(line)}`,
      ...describeLosses(lines),
      ...describeExchange(lines),
      ...describeRefusedOffers(lines),
    ])
    .with({ kind: CallEventKind.Refused }, (line) => [
      ...describeRefusal(line, lines),
      ...describeRefusedWithoutOffer(lines),
      ...describeRefusedOffers(lines),
    ])
    .with({ kind: CallEventKind.Abandoned }, (line) => [
      `the caller left${formatElapsed(line)} without an answer`,
      ...describeLastPlace(lines),
    ])
    .otherwise(() => []);
  return [...parts, ...describeErrors(lines)].join("; ");
}

/** Losses come first if the outcome is unknown, since they are why it is. */
function describeRefusal(
  line: LogLine,
  lines: readonly LogLine[],
): readonly string[] {
  const { reason, outcome } = line.details;
  const losses = describeLosses(lines);
  const isLoss = reason === RefusalReason.ContactLost ||
    reason === RefusalReason.AnswerBroken;
  const reasons = losses.length > 0 && isLoss
    ? losses
    : [...losses, describeRefusalReason(reason)];
  const result = match(outcome)
    .with(Outcome.Unknown, () => "outcome unknown, it may have run")
    .with(Outcome.NotRun, () => "not run")
    .otherwise(() => "outcome not logged");
  return [
    `refused${formatElapsed(line)}, ${result}: ${reasons.join("; then ")}`,
    ...describeQuota(line),
  ];
}

/** Names the organisation whose quota a call was refused for. */
function describeQuota({ details }: LogLine): readonly string[] {
  const { reason, organisation } = details;
  const isQuota = reason === RefusalReason.QuotaExceeded ||
    reason === RefusalReason.QuotaUnconfirmed;
  return isQuota && organisation !== undefined
    ? [`the quota is that of "${organisation}"`]
    : [];
}

function describeErrors(lines: readonly LogLine[]): readonly string[] {
  return selectKind(lines, CallEventKind.InternalError).map(({ vm, details }) =>
    `an unexpected error ended the call on ${vm}: ${details["reason"]}`
  );
}

function describeLosses(lines: readonly LogLine[]): readonly string[] {
  return selectKind(lines, CallEventKind.OfferLost).map(describeOfferLoss);
}

function describeRefusedWithoutOffer(
  lines: readonly LogLine[],
): readonly string[] {
  return selectKind(lines, CallEventKind.RefusedWithoutOffer)
    .map(({ details }) =>
      `not offered, ${details["service"]} was known to be full ` +
      `(${details["reason"]}, shortest wait ${details["waitMilliseconds"]} ms)`
    );
}

function describeRefusedOffers(lines: readonly LogLine[]): readonly string[] {
  const refused = selectKind(lines, CallEventKind.OfferRefused);
  if (refused.length === 0) return [];
  const servers = listValues(refused, "backendServer");
  const reasons = listValues(refused, "reason");
  return [`offers refused: ${refused.length} (${reasons}) by ${servers}`];
}

function describeExchange(lines: readonly LogLine[]): readonly string[] {
  const line = selectKind(lines, CallEventKind.Exchanged).at(-1);
  if (line === undefined) return [];
  const { waitedMilliseconds, elapsedMilliseconds, cancelled, outcome } =
    line.details;
  const end = cancelled === true ? "cancelled" : outcome;
  return [
    `on ${line.vm} it waited ${waitedMilliseconds} ms for a slot and took ` +
    `${elapsedMilliseconds} ms at the backend server (${end})`,
  ];
}

/** Describes where a call was that has not been answered. */
function describeLastPlace(lines: readonly LogLine[]): readonly string[] {
  const exchange = describeExchange(lines);
  if (exchange.length > 0) return [...describeLosses(lines), ...exchange];
  const queued = selectKind(lines, CallEventKind.Queued).at(-1);
  if (queued !== undefined) return [`it waited for a slot on ${queued.vm}`];
  return [
    ...describeLosses(lines),
    ...describeLastCheck(lines),
    ...describeRefusedOffers(lines),
  ];
}

function describeLastCheck(lines: readonly LogLine[]): readonly string[] {
  const line = selectKind(lines, CallEventKind.OfferChecked).at(-1);
  if (line === undefined) return [];
  const { backendServer, outcome } = line.details;
  const text = checkTextsByValue.get(String(outcome)) ??
    `was checked: ${outcome}`;
  return [`the node beside ${backendServer} ${text}`];
}

function selectKind(
  lines: readonly LogLine[],
  kind: string,
): readonly LogLine[] {
  return lines.filter((line) => line.kind === kind);
}

/** Returns the different values of a field, in the order of their first lines. */
function listValues(lines: readonly LogLine[], field: string): string {
  return Array.from(new Set(lines.map(({ details }) => details[field])))
    .join(", ");
}

function formatElapsed(line: LogLine): string {
  const { elapsedMilliseconds } = line.details;
  return elapsedMilliseconds === undefined
    ? ""
    : ` after ${elapsedMilliseconds} ms`;
}
