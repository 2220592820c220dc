import { match } from "ts-pattern";
import { ContactLossCause } from "./contact_loss_cause.ts";
import type { OfferCheck } from "./offer_check.ts";
import { OfferCheckKind } from "./offer_check_kind.ts";
import { OfferStatus } from "./offer_status.ts";

/**
 * Returns the cause if the check shows that contact is lost; undefined while the
 * backend server may be at work and its answer may still arrive.
 *
 * A node that does not reply may only be slow or paused, and the work goes on
 * beside it.
 */
export function getContactLossCause(
  check: OfferCheck,
  options: {
    /** Whether an earlier check found that the node had sent its reply. */
    readonly repliedBefore: boolean;
  },
): ContactLossCause | undefined {
  return match(check)
    .returnType<ContactLossCause | undefined>()
    .with(
      { kind: OfferCheckKind.Unreachable },
      () => ContactLossCause.NodeUnreachable,
    )
    .with({ kind: OfferCheckKind.NoReply }, () => undefined)
    .with(
      { kind: OfferCheckKind.Status, status: OfferStatus.Held },
      () => undefined,
    )
    .with(
      { kind: OfferCheckKind.Status, status: OfferStatus.Unknown },
      () => ContactLossCause.NotReceived,
    )
    .with(
      { kind: OfferCheckKind.Status, status: OfferStatus.Replied },
      // A reply that was just sent may still be on its way.
      () => options.repliedBefore ? ContactLossCause.ReplyLost : undefined,
    )
    .exhaustive();
}
