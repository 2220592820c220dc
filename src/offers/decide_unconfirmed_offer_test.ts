import test from "ava";
import { ContactLossCause } from "./contact_loss_cause.ts";
import { decideUnconfirmedOffer } from "./decide_unconfirmed_offer.ts";
import type { OfferCheck } from "./offer_check.ts";
import { OfferCheckKind } from "./offer_check_kind.ts";
import type { OfferDecision } from "./offer_decision.ts";
import { OfferDecisionKind } from "./offer_decision_kind.ts";
import { OfferStatus } from "./offer_status.ts";

const canRetry = true;
const keep: OfferDecision = { kind: OfferDecisionKind.Keep };
const checkAgain: OfferDecision = { kind: OfferDecisionKind.CheckAgain };
const noReply: OfferCheck = { kind: OfferCheckKind.NoReply };
const notConnected: OfferCheck = { kind: OfferCheckKind.NotConnected };
const rejected: OfferCheck = { kind: OfferCheckKind.Rejected };
const notSupported: OfferCheck = { kind: OfferCheckKind.NotSupported };

function createStatusCheck(status: OfferStatus): OfferCheck {
  return { kind: OfferCheckKind.Status, status };
}

function createGiveUp(cause: ContactLossCause): OfferDecision {
  return { kind: OfferDecisionKind.GiveUp, cause };
}

// Guards against cutting work that goes on beside a slow or paused node.
test("an offer stays while its node holds it, or is silent on a VM that accepts connections", (t) => {
  const held = createStatusCheck(OfferStatus.Held);
  const previous = undefined;
  t.deepEqual(decideUnconfirmedOffer(held, { previous, canRetry }), keep);
  [undefined, noReply, notConnected].forEach((earlier) =>
    t.deepEqual(
      decideUnconfirmedOffer(noReply, { previous: earlier, canRetry }),
      checkAgain,
    )
  );
});

// Guards against cutting work for one lost packet.
test("an offer stays after one connection attempt that timed out", (t) => {
  [undefined, noReply].forEach((previous) =>
    t.deepEqual(
      decideUnconfirmedOffer(notConnected, { previous, canRetry }),
      checkAgain,
    )
  );
});

// Guards against an own refusal, or none, in place of an answer that may come.
test("an offer whose VM does not respond stays if no other attempt could follow", (t) => {
  t.deepEqual(
    decideUnconfirmedOffer(notConnected, {
      previous: notConnected,
      canRetry: false,
    }),
    checkAgain,
  );
});

// Guards against waiting until the deadline for a VM that is gone.
test("an offer is given up after two connection attempts that timed out, and after one that was rejected", (t) => {
  const lost = createGiveUp(ContactLossCause.NodeUnreachable);
  t.deepEqual(
    decideUnconfirmedOffer(notConnected, { previous: notConnected, canRetry }),
    lost,
  );
  t.deepEqual(
    decideUnconfirmedOffer(rejected, { previous: undefined, canRetry: false }),
    lost,
  );
});

// Guards against waiting until the deadline for an offer that is certainly lost.
test("an offer that did not arrive is given up at once", (t) => {
  const unknown = createStatusCheck(OfferStatus.Unknown);
  t.deepEqual(
    decideUnconfirmedOffer(unknown, { previous: undefined, canRetry: false }),
    createGiveUp(ContactLossCause.NotReceived),
  );
});

// Guards against giving up an answer that is on its way.
test("a reply that was sent gets the time until the next check to arrive", (t) => {
  const replied = createStatusCheck(OfferStatus.Replied);
  t.deepEqual(
    decideUnconfirmedOffer(replied, { previous: undefined, canRetry }),
    checkAgain,
  );
  t.deepEqual(
    decideUnconfirmedOffer(replied, { previous: replied, canRetry }),
    createGiveUp(ContactLossCause.ReplyLost),
  );
});

// Guards against giving up the calls at nodes of an earlier version.
test("an offer stays at a node that does not know such queries", (t) => {
  t.deepEqual(
    decideUnconfirmedOffer(notSupported, { previous: undefined, canRetry }),
    keep,
  );
});
