import { RefusalReason } from "../calls/refusal_reason.ts";
import { ContactLossCause } from "../offers/contact_loss_cause.ts";
import type { LogLine } from "./log_line.ts";

/** What the values of `cause` on a line `offer-lost` say. */
const causeTexts: Readonly<Record<string, (node: string) => string>> = {
  [ContactLossCause.ConnectionEnded]: (node) =>
    `the connection to ${node} ended before its reply`,
  [ContactLossCause.NodeUnreachable]: (node) =>
    `${node} did not confirm the call and could not be reached`,
  [ContactLossCause.NotReceived]: (node) =>
    `${node} stated that the call did not arrive`,
  [ContactLossCause.ReplyLost]: (node) =>
    `${node} replied, but the reply did not arrive`,
};

/** Describes why an offer that had been sent was lost, from its line `offer-lost`. */
export function describeOfferLoss(line: LogLine): string {
  const { backendServer, reason, cause } = line.details;
  if (reason === RefusalReason.AnswerBroken) {
    return `the answer of backend server ${backendServer} was truncated or malformed`;
  }
  const node = `the node beside ${backendServer}`;
  const describe = causeTexts[String(cause)];
  return describe === undefined
    ? `contact with ${node} was lost after the call had been sent`
    : describe(node);
}
