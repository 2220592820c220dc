import { match } from "ts-pattern";
import { ContactLossCause } from "./contact_loss_cause.ts";
import type { OfferCheck } from "./offer_check.ts";
import { OfferCheckKind } from "./offer_check_kind.ts";
import type { OfferDecision } from "./offer_decision.ts";
import { OfferDecisionKind } from "./offer_decision_kind.ts";
import { OfferStatus } from "./offer_status.ts";

const keep: OfferDecision = { kind: OfferDecisionKind.Keep };
const checkAgain: OfferDecision = { kind: OfferDecisionKind.CheckAgain };

/**
 * Decides whether an unconfirmed offer is given up. It stays while its backend
 * server may be at work and the answer may still arrive: a node that does not
 * reply may only be slow or paused, and one lost packet delays a connection
 * attempt by a second.
 */
export function decideUnconfirmedOffer(
  check: OfferCheck,
  options: {
    /** The result of the check before; undefined after the first one. */
    readonly previous: OfferCheck | undefined;
    /** Whether another attempt may follow if this offer is given up. */
    readonly canRetry: boolean;
  },
): OfferDecision {
  const { previous, canRetry } = options;
  const isRepeated = isSameCheck(check, previous);
  return match(check)
    .returnType<OfferDecision>()
    .with({ kind: OfferCheckKind.NotSupported }, () => keep)
    .with({ kind: OfferCheckKind.NoReply }, () => checkAgain)
    .with(
      { kind: OfferCheckKind.Rejected },
      () => giveUp(ContactLossCause.NodeUnreachable),
    )
    .with(
      { kind: OfferCheckKind.NotConnected },
      () =>
        isRepeated && canRetry
          ? giveUp(ContactLossCause.NodeUnreachable)
          : checkAgain,
    )
    .with(
      { kind: OfferCheckKind.Status, status: OfferStatus.Held },
      () => keep,
    )
    .with(
      { kind: OfferCheckKind.Status, status: OfferStatus.Unknown },
      () => giveUp(ContactLossCause.NotReceived),
    )
    .with(
      { kind: OfferCheckKind.Status, status: OfferStatus.Replied },
      // A reply that was just sent may still be on its way.
      () => isRepeated ? giveUp(ContactLossCause.ReplyLost) : checkAgain,
    )
    .exhaustive();
}

function giveUp(cause: ContactLossCause): OfferDecision {
  return { kind: OfferDecisionKind.GiveUp, cause };
}

function isSameCheck(
  check: OfferCheck,
  previous: OfferCheck | undefined,
): boolean {
  if (check.kind !== previous?.kind) return false;
  return check.kind !== OfferCheckKind.Status ||
    (previous.kind === OfferCheckKind.Status &&
      check.status === previous.status);
}
