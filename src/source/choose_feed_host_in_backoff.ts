import type { FeedHostBackoff } from "./feed_host_backoff.ts";
import { listFeedNeighbours } from "./list_feed_neighbours.ts";

/**
 * Returns the neighbour to follow although it is in backoff, for a node whose
 * own reads of the source fail and that `chooseFeedHost` gives no host; undefined
 * if the node can read the source. The backoff that ends first is ignored: it
 * may exceed the bound on the delay of a change, and nothing else brings
 * changes to this node. The delay between the failed reads of the source limits
 * the requests.
 */
export function chooseFeedHostInBackoff(
  hosts: readonly string[],
  options: {
    readonly ownHost: string;
    /** Failures by host; a host without recent failures has no entry. */
    readonly backoffByHost: ReadonlyMap<string, FeedHostBackoff>;
    readonly now: number;
  },
): string | undefined {
  const { ownHost, backoffByHost: backoffs, now } = options;
  const getBackoffUntil = (host: string) =>
    backoffs.get(host)?.backoffUntil ?? 0;
  if (getBackoffUntil(ownHost) <= now) return undefined;
  return listFeedNeighbours(hosts, { ownHost }).reduce<string | undefined>(
    (first, host) =>
      first === undefined || getBackoffUntil(host) < getBackoffUntil(first)
        ? host
        : first,
    undefined,
  );
}
