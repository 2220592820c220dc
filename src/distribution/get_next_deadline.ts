import type { DistributionState } from "./distribution_state.ts";

/** Returns the instant at which the distribution next has something to do of its own accord; Infinity for never. */
export function getNextDeadline(state: DistributionState): number {
  const { startup, platform, exchange, peers, versions, confirmation } = state;
  return state.stopping ? Infinity : Math.min(
    exchange.nextExchangeAt,
    platform.nextListAt,
    platform.isReading ? Infinity : platform.nextReadAt,
    peers.nextRefreshAt,
    startup.decided ? Infinity : startup.nextWaveAt,
    versions.candidate?.deadline ?? Infinity,
    confirmation?.deadline ?? Infinity,
  );
}
