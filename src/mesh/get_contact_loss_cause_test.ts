import test from "ava";
import { ContactLossCause } from "./contact_loss_cause.ts";
import { getContactLossCause } from "./get_contact_loss_cause.ts";
import type { OfferCheck } from "./offer_check.ts";
import { OfferCheckKind } from "./offer_check_kind.ts";
import { OfferStatus } from "./offer_status.ts";

const statusCheck = (status: OfferStatus): OfferCheck => ({
  kind: OfferCheckKind.Status,
  status,
});

test("an offer is kept while its node holds it, or is silent on a VM that accepts connections", (t) => {
  [true, false].forEach((repliedBefore) => {
    const held = statusCheck(OfferStatus.Held);
    const noReply: OfferCheck = { kind: OfferCheckKind.NoReply };
    t.is(getContactLossCause(held, { repliedBefore }), undefined);
    t.is(getContactLossCause(noReply, { repliedBefore }), undefined);
  });
});

test("contact is lost if the node cannot be reached or did not receive the offer", (t) => {
  const unreachable: OfferCheck = { kind: OfferCheckKind.Unreachable };
  const unknown = statusCheck(OfferStatus.Unknown);
  const repliedBefore = false;
  t.is(
    getContactLossCause(unreachable, { repliedBefore }),
    ContactLossCause.NodeUnreachable,
  );
  t.is(
    getContactLossCause(unknown, { repliedBefore }),
    ContactLossCause.NotReceived,
  );
});

test("a reply that was sent gets the time until the next check to arrive", (t) => {
  const replied = statusCheck(OfferStatus.Replied);
  t.is(getContactLossCause(replied, { repliedBefore: false }), undefined);
  t.is(
    getContactLossCause(replied, { repliedBefore: true }),
    ContactLossCause.ReplyLost,
  );
});
