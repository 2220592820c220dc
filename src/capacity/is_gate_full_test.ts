import test from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { isGateFull } from "./is_gate_full.ts";

const load = { running: 8, queued: 0, slots: 8, cold: false };
const freeLoad = { ...load, running: 1 };

test("a call that gates hold back as suspect: its refusals do not make the service full for other calls", (t) => {
  t.false(isGateFull({ reason: RefusalReason.Full, load: freeLoad }));
});

test("refusals by gates without a free slot or a token count for every call", (t) => {
  t.true(isGateFull({ reason: RefusalReason.Full, load }));
  t.true(isGateFull({ reason: RefusalReason.Full, load: undefined }));
  t.true(isGateFull({ reason: RefusalReason.RateLimited, load: freeLoad }));
  t.true(isGateFull({ reason: RefusalReason.ColdStart, load: freeLoad }));
  t.false(isGateFull({ reason: RefusalReason.NodeDraining, load }));
});
