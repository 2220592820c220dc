import test from "ava";
import { isReplyHead } from "./is_reply_head.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";

const proper = {
  status: 200,
  headers: ["content-type", "text/plain", "x-other", "a \xe9\tb"],
  reply: {
    kind: OfferOutcomeKind.Answered,
    load: { running: 1, queued: 0, slots: 4, cold: false },
  },
};

test("the head of a reply with a final status and headers of HTTP is one", (t) => {
  [200, 204, 404, 503, 599].forEach((status) =>
    t.true(isReplyHead({ ...proper, status }), String(status))
  );
});

test("a status that is interim or not defined makes no head of a reply", (t) => {
  [0, 99, 100, 101, 199, 600, 999, 200.5, "200"].forEach((status) =>
    t.false(isReplyHead({ ...proper, status }), String(status))
  );
});

test("a name or a value that is none in HTTP makes no head of a reply", (t) => {
  [
    ["x other", "1"],
    ["x-other ", "1"],
    ["x\tother", "1"],
    ["x\x01other", "1"],
    ["x\x7fother", "1"],
    ["", "1"],
    ["x-other", "a\0b"],
    ["x-other", "a\r\nb: c"],
    ["x-other", "\u0100"],
    ["x-other"],
  ].forEach((headers) =>
    t.false(isReplyHead({ ...proper, headers }), JSON.stringify(headers))
  );
});
