import test from "ava";
import { FeedEndKind } from "./feed_end_kind.ts";
import type { FeedHostBackoff } from "./feed_host_backoff.ts";
import { getFeedHostBackoff } from "./get_feed_host_backoff.ts";

const now = 1_000;

function recordFailures(
  times: number,
  kind: FeedEndKind,
): FeedHostBackoff | undefined {
  return Array.from({ length: times }).reduce<FeedHostBackoff | undefined>(
    (previous) => getFeedHostBackoff(previous, { kind, now }),
    undefined,
  );
}

test("the backoff of a host grows with each consecutive failure, up to a maximum", (t) => {
  const backoffs = [1, 2, 3, 10].map((times) =>
    (recordFailures(times, FeedEndKind.Lost)?.backoffUntil ?? 0) - now
  );
  t.true(backoffs[0]! < backoffs[1]! && backoffs[1]! < backoffs[2]!);
  t.true(backoffs[3]! <= 30_000);
});

test("the backoff after a refusal is shorter than after a lost connection", (t) => {
  const refused = recordFailures(1, FeedEndKind.Refused)?.backoffUntil ?? 0;
  const lost = recordFailures(1, FeedEndKind.Lost)?.backoffUntil ?? 0;
  t.true(refused < lost);
});
