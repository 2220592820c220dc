import test from "ava";
import { createSampleOffer } from "../testing/mesh/create_sample_offer.ts";
import { decodeOffer } from "./decode_offer.ts";
import { encodeOffer } from "./encode_offer.ts";

const now = 1_000;
const offer = createSampleOffer("c-1", { now });

test("an offer passes on the organisation's name, also one that a header cannot hold as it is", (t) =>
  ["bakery", "São Bento", "烘焙", 'with \\u0041 and "quotes"'].forEach(
    (name) => {
      const text = encodeOffer({ ...offer, organisation: name }, now);
      t.regex(text, /^[ -~]+$/);
      t.deepEqual(decodeOffer(text, now), { ...offer, organisation: name });
    },
  ));

test("an offer without an organisation, as nodes of earlier versions send it, is valid", (t) => {
  const text = encodeOffer(offer, now);
  t.false(text.includes("organisation"));
  t.deepEqual(decodeOffer(text, now), offer);
});

test("an offer whose organisation could end a header is invalid", (t) =>
  ["", "a\r\nx-caller-service: mill", "a\u0000", " a", 7, null, ["a"]]
    .forEach((organisation) => {
      const message = JSON.parse(encodeOffer(offer, now));
      const text = JSON.stringify({ ...message, organisation });
      t.is(decodeOffer(text, now), undefined);
    }));
