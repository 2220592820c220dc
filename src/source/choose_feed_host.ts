import type { FeedHostBackoff } from "./feed_host_backoff.ts";
import { listFeedNeighbours } from "./list_feed_neighbours.ts";

/**
 * Returns the host whose feed a node should follow, or undefined if the node
 * should read the source itself. All nodes of a zone sort its hosts in the same
 * order, so the first host reads the source and the others follow it. Hosts in
 * backoff are skipped.
 */
export function chooseFeedHost(
  hosts: readonly string[],
  options: {
    readonly ownHost: string;
    /** Failures by host; a host without recent failures has no entry. */
    readonly backoffByHost: ReadonlyMap<string, FeedHostBackoff>;
    readonly now: number;
  },
): string | undefined {
  const { ownHost, backoffByHost: backoffs, now } = options;
  const neighbours = listFeedNeighbours(hosts, { ownHost });
  const chosen = [...new Set(hosts)].sort()
    .filter((host) => host === ownHost || neighbours.includes(host))
    .find((host) => (backoffs.get(host)?.backoffUntil ?? 0) <= now);
  return chosen === ownHost ? undefined : chosen;
}
