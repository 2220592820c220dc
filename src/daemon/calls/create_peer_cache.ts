import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";

type PeerSource = Pick<CallsRuntimeOptions, "getPeers" | "getGoneVms">;

/** How long peers are gone by before they are read again. */
const keptMilliseconds = 250;

/**
 * Reads peers and gone VMs at most every 250 ms. Each call looks at them, and
 * reading them takes a time that grows with the fleet.
 */
export function createPeerCache(options: CallsRuntimeOptions): PeerSource {
  const { clock } = options.environment;
  const keep = <Value>(read: () => Value): () => Value => {
    let value: Value | undefined;
    let readAt = 0;
    return () => {
      const now = clock.now();
      const isOld = now >= readAt + keptMilliseconds || now < readAt;
      if (value === undefined || isOld) {
        value = read();
        readAt = now;
      }
      return value;
    };
  };
  return {
    getPeers: keep(options.getPeers),
    getGoneVms: keep(options.getGoneVms),
  };
}
