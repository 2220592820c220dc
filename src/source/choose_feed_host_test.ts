import test from "ava";
import { chooseFeedHost } from "./choose_feed_host.ts";
import type { FeedHostBackoff } from "./feed_host_backoff.ts";

const now = 10_000;
const failedOnce: FeedHostBackoff = { failures: 1, backoffUntil: now + 1_000 };
const hosts = ["10.0.0.3", "10.0.0.1", "10.0.0.2", "10.0.0.4", "10.0.0.5"];

function choose(
  ownHost: string,
  failedHosts: readonly string[] = [],
): string | undefined {
  const backoffs = new Map(failedHosts.map((host) => [host, failedOnce]));
  return chooseFeedHost(hosts, { ownHost, backoffByHost: backoffs, now });
}

test("all nodes of a zone choose the same node to read the source", (t) => {
  t.is(choose("10.0.0.1"), undefined);
  hosts.filter((host) => host !== "10.0.0.1").forEach((host) =>
    t.is(choose(host), "10.0.0.1")
  );
});

test("a host in backoff is skipped, including the node's own host", (t) => {
  t.is(choose("10.0.0.5", ["10.0.0.1"]), "10.0.0.2");
  t.is(choose("10.0.0.2", ["10.0.0.1"]), undefined);
  t.is(choose("10.0.0.1", ["10.0.0.1"]), "10.0.0.2");
});

test("a node reads the source itself when three neighbours are in backoff", (t) => {
  t.is(choose("10.0.0.5", ["10.0.0.1", "10.0.0.2", "10.0.0.3"]), undefined);
});

test("a node that is alone in its zone or not listed chooses only listed hosts", (t) => {
  const options: Parameters<typeof chooseFeedHost>[1] = {
    ownHost: "10.0.0.9",
    backoffByHost: new Map(),
    now,
  };
  t.is(chooseFeedHost([], options), undefined);
  t.is(chooseFeedHost(["10.0.0.9"], options), undefined);
  t.is(chooseFeedHost(["10.0.0.2"], options), "10.0.0.2");
});
