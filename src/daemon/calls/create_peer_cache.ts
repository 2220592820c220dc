import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";

type PeerCache = Pick<CallsRuntimeOptions, "getPeers" | "getGoneVms">;

/** Time for which the peers and the gone VMs are cached. */
const cacheMilliseconds = 250;

/**
 * Creates cached versions of `getPeers` and `getGoneVms`, which are refreshed at most
 * every 250 ms. Each call needs both, and the cost of computing them grows with the
 * fleet.
 */
export function createPeerCache(options: CallsRuntimeOptions): PeerCache {
  const { clock } = options.environment;
  const cacheValue = <Value>(read: () => Value): () => Value => {
    let value: Value | undefined;
    let readAt = 0;
    return () => {
      const now = clock.now();
      const isExpired = now >= readAt + cacheMilliseconds || now < readAt;
      if (value === undefined || isExpired) {
        value = read();
        readAt = now;
      }
      return value;
    };
  };
  return {
    getPeers: cacheValue(options.getPeers),
    getGoneVms: cacheValue(options.getGoneVms),
  };
}
