import test from "ava";
import { computeServiceShares } from "./compute_service_shares.ts";

test("computeServiceShares() excludes abandoned calls from the shares", (t) => {
  const shares = computeServiceShares([
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
  t.is(shares.abandoned, 6);
  t.is(shares.whole, 0.75);
  t.is(shares.notRun, 0.125);
  t.is(shares.broken, 0.125);
  t.is(shares.worstPercentile99Milliseconds, 90);
});
