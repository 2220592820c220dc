import test from "ava";
import { chooseFeedHostInBackoff } from "./choose_feed_host_in_backoff.ts";
import type { FeedHostBackoff } from "./feed_host_backoff.ts";
import { FeedEndKind } from "./feed_end_kind.ts";
import { getFeedHostBackoff } from "./get_feed_host_backoff.ts";

const now = 10_000;
const ownHost = "10.0.0.1";
const hosts = ["10.0.0.4", "10.0.0.3", ownHost, "10.0.0.2", "10.0.0.5"];

function choose(
  backoffUntilByHost: Readonly<Record<string, number>>,
): string | undefined {
  const backoffByHost = new Map(
    Object.entries(backoffUntilByHost).map((
      [host, backoffUntil],
    ): [string, FeedHostBackoff] => [host, { failures: 1, backoffUntil }]),
  );
  return chooseFeedHostInBackoff(hosts, { ownHost, backoffByHost, now });
}

test("a node that the source rejects is not left without a host while all neighbours are in backoff", (t) => {
  t.is(
    choose({
      [ownHost]: now + 20_000,
      "10.0.0.2": now + 3_000,
      "10.0.0.3": now + 200,
      "10.0.0.4": now + 400,
    }),
    "10.0.0.3",
  );
});

test("a node that can read the source does not disturb neighbours in backoff", (t) => {
  t.is(choose({ "10.0.0.2": now + 3_000 }), undefined);
  t.is(choose({ [ownHost]: now, "10.0.0.2": now + 3_000 }), undefined);
});

test("a node without neighbours has no host to follow", (t) => {
  const backoffByHost = new Map([
    [ownHost, { failures: 1, backoffUntil: now + 3_000 }],
  ]);
  t.is(
    chooseFeedHostInBackoff([ownHost], { ownHost, backoffByHost, now }),
    undefined,
  );
});

test("a neighbour that keeps failing does not keep the others from being asked", (t) => {
  const backoffByHost = new Map<string, FeedHostBackoff>([
    [ownHost, { failures: 1, backoffUntil: now + 20_000 }],
  ]);
  const asked = Array.from({ length: 6 }, (_, index) => {
    const instant = now + index;
    const host = chooseFeedHostInBackoff(hosts, {
      ownHost,
      backoffByHost,
      now: instant,
    })!;
    backoffByHost.set(
      host,
      getFeedHostBackoff(backoffByHost.get(host), {
        kind: FeedEndKind.Lost,
        now: instant,
      }),
    );
    return host;
  });
  t.deepEqual(asked, [
    "10.0.0.2",
    "10.0.0.3",
    "10.0.0.4",
    "10.0.0.2",
    "10.0.0.3",
    "10.0.0.4",
  ]);
});
