import { chooseFeedHost } from "../source/choose_feed_host.ts";
import { chooseFeedHostInBackoff } from "../source/choose_feed_host_in_backoff.ts";
import { endFeed } from "../source/end_feed.ts";
import type { FeedAge } from "../source/feed_age.ts";
import { FeedEndKind } from "../source/feed_end_kind.ts";
import type { FeedLine } from "../source/feed_line.ts";
import type { FeedHostBackoff } from "../source/feed_host_backoff.ts";
import { getFeedHostBackoff } from "../source/get_feed_host_backoff.ts";
import type { NeighbourFeeds } from "../source/neighbour_feeds.ts";
import { confirmRulesByLine } from "./confirm_rules_by_line.ts";
import { followFeed } from "./follow_feed.ts";
import { listZoneHosts } from "./list_zone_hosts.ts";
import type { MeshNode } from "./mesh_node.ts";
import { readClocks } from "./read_clocks.ts";
import { tryCreateLineReading } from "./try_create_line_reading.ts";

/**
 * Creates the client for the feeds of the other nodes in this availability
 * zone.
 */
export function createNeighbourFeeds(node: MeshNode): NeighbourFeeds {
  const { backendServer, listeners } = node.settings;
  const ownHost = backendServer.host;
  const backoffByHost = new Map<string, FeedHostBackoff>();
  const age: FeedAge = {
    confirmedAt: Number.NEGATIVE_INFINITY,
    minimumClockOffset: Number.POSITIVE_INFINITY,
  };
  const closing = new AbortController();

  function getChoiceOptions() {
    return { ownHost, backoffByHost, now: node.clock.now() };
  }

  function chooseAvailableHost(): string | undefined {
    return chooseFeedHost(listZoneHosts(node), getChoiceOptions());
  }

  function recordFailure(host: string, kind: FeedEndKind): void {
    const now = node.clock.now();
    backoffByHost.set(
      host,
      getFeedHostBackoff(backoffByHost.get(host), { kind, now }),
    );
  }

  return {
    chooseHost: () =>
      chooseAvailableHost() ??
        chooseFeedHostInBackoff(listZoneHosts(node), getChoiceOptions()),
    hasFollowers: () =>
      node.feed.subscribers.size > 0 ||
      (chooseAvailableHost() === undefined &&
        listZoneHosts(node).some((host) => host !== ownHost)),
    follow: async (host, { after, onReading }) => {
      let position = after;
      let following = false;
      const requestedAt = readClocks(node);
      let firstSentAt: number | undefined;
      const reportFollowing = () =>
        node.report.state("feed", { state: "following", host, ...position });
      age.minimumClockOffset = Number.POSITIVE_INFINITY;
      function handleLine(line: FeedLine): FeedEndKind | undefined {
        const reading = tryCreateLineReading(line, {
          after: position,
          rules: node.view.rules,
          now: node.clock.now(),
        });
        if (reading === undefined) return FeedEndKind.Gap;
        // No node may follow a node that itself follows a neighbour.
        endFeed(node.feed);
        if (!following) reportFollowing();
        following = true;
        backoffByHost.delete(host);
        position = { era: reading.era, revision: reading.revision };
        onReading(reading);
        firstSentAt ??= line.sentAt;
        if (!listZoneHosts(node).includes(host)) return FeedEndKind.Leaving;
        return confirmRulesByLine(node, line, { requestedAt, firstSentAt });
      }
      const kind = await followFeed(node, {
        host,
        port: listeners.nodes.port,
      }, {
        after,
        age,
        onLine: handleLine,
        signal: closing.signal,
      });
      node.report.state("feed", { state: "ended", host, kind, ...position });
      if (!isExpectedEnd(kind)) recordFailure(host, kind);
      return kind;
    },
    recordOwnRead: ({ succeeded }) => {
      if (!succeeded) return recordFailure(ownHost, FeedEndKind.Lost);
      backoffByHost.delete(ownHost);
      age.confirmedAt = node.clock.now();
    },
    close: () => closing.abort(),
  };
}

/** Returns whether a feed ended that may be followed again at once. */
function isExpectedEnd(kind: FeedEndKind): boolean {
  return kind === FeedEndKind.Gap || kind === FeedEndKind.Renewed;
}
