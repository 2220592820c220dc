import { RefusalReason } from "../calls/refusal_reason.ts";
import { ContactLossCause } from "../offers/contact_loss_cause.ts";
import type { LogLine } from "./log_line.ts";

/** What the values of `cause` on a line `offer-lost` say. */
const causeTexts: Readonly<
  Record<ContactLossCause, (node: string) => string>
> = {
  [ContactLossCause.ConnectionEnded]: (node) =>
    `the connection to ${node} ended before its reply`,
  [ContactLossCause.NodeUnreachable]: (node) =>
    `${node} did not confirm the call and could not be reached`,
  [ContactLossCause.NotReceived]: (node) =>
    `${node} stated that the call did not arrive`,
  [ContactLossCause.ReplyLost]: (node) =>
    `${node} had ended the call, but no reply arrived`,
};

const causeTextsByValue: ReadonlyMap<string, (node: string) => string> =
  new Map(Object.entries(causeTexts));

/** Describes why an offer that had been sent was lost, from its line `offer-lost`. */
export function describeOfferLoss(line: LogLine): string {
  const { backendServer, reason, cause } = line.details;
  if (reason === RefusalReason.AnswerBroken) {
    return `the answer of backend server ${backendServer} was truncated or malformed`;
  }
  const node = `the node beside ${backendServer}`;
  const describe = causeTextsByValue.get(String(cause));
  return describe === undefined
    ? `contact with ${node} was lost after the call had been sent`
    : describe(node);
}
