import test from "ava";
import { createOfferRecords } from "./create_offer_records.ts";
import { releaseOffer } from "./release_offer.ts";
import { tryHoldOffer } from "./try_hold_offer.ts";
import { withdrawOffer } from "./withdraw_offer.ts";

const offerIdentifier = "order";

// Guards against a start of an offer after its withdrawal, while its body is
// still read.
test("a held offer that is withdrawn is marked until its reply", (t) => {
  const records = createOfferRecords();
  tryHoldOffer(records, { offerIdentifier, now: 0 });
  withdrawOffer(records, { offerIdentifier, now: 1 });
  t.true(records.withdrawn.has(offerIdentifier));
  releaseOffer(records, { offerIdentifier, now: 2 });
  t.is(records.withdrawn.size, 0);
});

// Guards against a start of an offer that its withdrawal has overtaken.
test("an offer that is withdrawn before it arrives is refused when it arrives", (t) => {
  const records = createOfferRecords();
  withdrawOffer(records, { offerIdentifier, now: 0 });
  t.false(tryHoldOffer(records, { offerIdentifier, now: 1 }));
  t.is(records.withdrawn.size, 0);
});
