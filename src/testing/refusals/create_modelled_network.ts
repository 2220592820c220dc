import type { ModelledNetwork } from "./modelled_network.ts";

/** Creates a network on which no message is in transit. */
export function createModelledNetwork(): ModelledNetwork {
  const channels = new Map<string, readonly (() => void)[]>();
  return {
    send: (channel, deliver) => {
      channels.set(channel, [...channels.get(channel) ?? [], deliver]);
    },
    drop: (channel) => void channels.delete(channel),
    listChannels: () => Array.from(channels.keys()),
    deliver: (channel) => {
      const [first, ...rest] = channels.get(channel) ?? [];
      if (rest.length === 0) channels.delete(channel);
      else channels.set(channel, rest);
      first?.();
    },
  };
}
