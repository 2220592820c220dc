import type { DistributionState } from "./distribution_state.ts";

/**
 * Returns the instant of the next scheduled task of the distribution; Infinity
 * if there is none.
 */
export function getNextDeadline(state: DistributionState): number {
  const { startup, platform, exchange, peers, versions, confirmation } = state;
  return state.stopping ? Infinity : Math.min(
    exchange.nextExchangeAt,
    platform.nextListAt,
    platform.isReading ? Infinity : platform.nextReadAt,
    peers.nextRefreshAt,
    startup.isComplete ? Infinity : startup.nextQueryAt,
    versions.candidate?.deadline ?? Infinity,
    confirmation?.deadline ?? Infinity,
  );
}
