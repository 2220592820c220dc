import test from "ava";
import { createOfferRecords } from "./create_offer_records.ts";
import { getOfferStatus } from "./get_offer_status.ts";
import { OfferStatus } from "./offer_status.ts";
import { recentOfferMilliseconds } from "./recent_offer_milliseconds.ts";
import { releaseOffer } from "./release_offer.ts";
import { tryHoldOffer } from "./try_hold_offer.ts";

const offerIdentifier = "order";

test("an offer is held until its reply, and known to have one after it", (t) => {
  const records = createOfferRecords();
  t.true(tryHoldOffer(records, { offerIdentifier, now: 0 }));
  t.is(getOfferStatus(records, { offerIdentifier, now: 1 }), OfferStatus.Held);
  releaseOffer(records, { offerIdentifier, now: 2 });
  t.is(
    getOfferStatus(records, { offerIdentifier, now: 3 }),
    OfferStatus.Replied,
  );
});

// Guards against running a call that the other node has given up.
test("an offer that is queried before it arrives never runs", (t) => {
  const records = createOfferRecords();
  const queriedAt = 5;
  t.is(
    getOfferStatus(records, { offerIdentifier, now: queriedAt }),
    OfferStatus.Unknown,
  );
  const latest = queriedAt + recentOfferMilliseconds - 1;
  t.false(tryHoldOffer(records, { offerIdentifier, now: latest }));
  t.is(records.held.size, 0);
});

test("an offer that was refused may be offered again to the same node", (t) => {
  const records = createOfferRecords();
  t.true(tryHoldOffer(records, { offerIdentifier, now: 0 }));
  releaseOffer(records, { offerIdentifier, now: 1 });
  t.true(tryHoldOffer(records, { offerIdentifier, now: 2 }));
  t.is(getOfferStatus(records, { offerIdentifier, now: 3 }), OfferStatus.Held);
});

// Guards against growth of the process with the number of calls.
test("records of offers that ended are removed after a while", (t) => {
  const records = createOfferRecords();
  const calls = Array.from({ length: 1_000 }, (_, index) => `call-${index}`);
  calls.forEach((call, now) => {
    tryHoldOffer(records, { offerIdentifier: call, now });
    releaseOffer(records, { offerIdentifier: call, now });
  });
  records.recent.sweep(calls.length + recentOfferMilliseconds);
  t.is(records.recent.size, 0);
  t.is(records.held.size, 0);
});
