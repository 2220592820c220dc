import test from "ava";
import { computeServiceShare } from "./compute_service_share.ts";

test("computeServiceShare() leaves callers that hung up out of the shares", (t) => {
  const share = computeServiceShare([
    {
      second: 0,
      service: "encomendas",
      priority: "high",
      sent: 10,
      endings: { abandoned: 6, whole: 3, notRun: 1 },
      medianMilliseconds: 20,
      percentile99Milliseconds: 90,
    },
    {
      second: 1,
      service: "encomendas",
      priority: "high",
      sent: 4,
      endings: { whole: 3, cut: 1 },
      medianMilliseconds: 22,
      percentile99Milliseconds: 40,
    },
  ]);
  t.is(share.abandoned, 6);
  t.is(share.whole, 0.75);
  t.is(share.notRun, 0.125);
  t.is(share.broken, 0.125);
  t.is(share.worstPercentile99Milliseconds, 90);
});
