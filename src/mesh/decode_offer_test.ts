import test from "ava";
import { createSampleOffer } from "../testing/mesh/create_sample_offer.ts";
import { decodeOffer } from "./decode_offer.ts";
import { encodeOffer } from "./encode_offer.ts";

const now = 1_000_000;
const offer = {
  ...createSampleOffer("a", { now }),
  isNested: true,
  shareKey: "bakery",
};

test("an offer keeps whether it is nested and whose share it uses", (t) => {
  t.deepEqual(decodeOffer(encodeOffer(offer, now), now), offer);
});

test("an offer of a node of an earlier version is not nested and uses the share of the calling service", (t) => {
  const { nested: _, share: __, ...earlier } = JSON.parse(
    encodeOffer(offer, now),
  );
  t.like(decodeOffer(JSON.stringify(earlier), now), {
    isNested: false,
    shareKey: offer.callerService,
  });
});

test("an offer with invalid additions is rejected", (t) => {
  const message = JSON.parse(encodeOffer(offer, now));
  [{ nested: 1 }, { share: 1 }].forEach((change) =>
    t.is(
      decodeOffer(JSON.stringify({ ...message, ...change }), now),
      undefined,
    )
  );
});
