import test from "ava";
import { createOfferRecords } from "./create_offer_records.ts";
import { replyToOfferQuery } from "./reply_to_offer_query.ts";
import { OfferStatus } from "./offer_status.ts";
import { recentOfferMilliseconds } from "./recent_offer_milliseconds.ts";
import { releaseOffer } from "./release_offer.ts";
import { tryHoldOffer } from "./try_hold_offer.ts";

const offerIdentifier = "order";

// Guards against giving up an offer that its node has, or waiting for one that
// has ended there.
test("an offer is held until its reply, and ended after it", (t) => {
  const records = createOfferRecords();
  t.true(tryHoldOffer(records, { offerIdentifier, now: 0 }));
  t.is(
    replyToOfferQuery(records, { offerIdentifier, now: 1 }),
    OfferStatus.Held,
  );
  releaseOffer(records, { offerIdentifier, now: 2 });
  t.is(
    replyToOfferQuery(records, { offerIdentifier, now: 3 }),
    OfferStatus.Ended,
  );
});

// Guards against running a call that the other node has given up.
test("an offer that is queried before it arrives never runs", (t) => {
  const records = createOfferRecords();
  const queriedAt = 5;
  t.is(
    replyToOfferQuery(records, { offerIdentifier, now: queriedAt }),
    OfferStatus.NotReceived,
  );
  const latest = queriedAt + recentOfferMilliseconds - 1;
  t.false(tryHoldOffer(records, { offerIdentifier, now: latest }));
  t.is(records.held.size, 0);
});

// Guards against fencing a call whose first offer to the node was given up.
test("the fence of one offer does not refuse a later offer of the same call", (t) => {
  const records = createOfferRecords();
  replyToOfferQuery(records, { offerIdentifier: "first", now: 0 });
  t.true(tryHoldOffer(records, { offerIdentifier: "second", now: 1 }));
  t.is(
    replyToOfferQuery(records, { offerIdentifier: "second", now: 2 }),
    OfferStatus.Held,
  );
});

// Guards against growth of the process with the number of calls.
test("records of offers that ended are removed after a while", (t) => {
  const records = createOfferRecords();
  const offers = Array.from({ length: 1_000 }, (_, index) => `offer-${index}`);
  offers.forEach((offer, now) => {
    tryHoldOffer(records, { offerIdentifier: offer, now });
    releaseOffer(records, { offerIdentifier: offer, now });
  });
  records.recent.sweep(offers.length + recentOfferMilliseconds);
  t.is(records.recent.size, 0);
  t.is(records.held.size, 0);
});
