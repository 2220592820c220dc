import type { SourceBounds } from "./source_bounds.ts";
import type { SourceReadTiming } from "./source_read_timing.ts";

/** Fraction of the change bound between two reads; the rest covers a slow source and a busy VM. */
const intervalFraction = 0.45;
/** Time to detect an unresponsive connection after its watch and to read on a new one. */
const reconnectMilliseconds = 1_000;
const watchMillisecondsMinimum = 200;

/** Fractions of the change bound for a followed node, whose followers receive each change later than it does. */
const followedIntervalFraction = 0.38;
const followedWatchFraction = 0.22;

/** Fraction of the withdrawal bound that the age of the rules may reach between two reads. */
const rulesAgeFraction = 0.6;

/**
 * Returns the longest interval and watch, and so the fewest reads, that keep the
 * bounds. An unresponsive connection is detected only at the end of a watch.
 */
export function getSourceReadTiming(
  bounds: SourceBounds,
  options: { readonly hasFollowers: boolean } = { hasFollowers: false },
): SourceReadTiming {
  if (options.hasFollowers) {
    return {
      intervalMilliseconds: bounds.changeMilliseconds *
        followedIntervalFraction,
      watchMilliseconds: Math.round(
        bounds.changeMilliseconds * followedWatchFraction,
      ),
    };
  }
  const intervalMilliseconds = bounds.changeMilliseconds * intervalFraction;
  return {
    intervalMilliseconds,
    watchMilliseconds: Math.max(
      watchMillisecondsMinimum,
      Math.min(
        bounds.contactMilliseconds - reconnectMilliseconds,
        getWatchMillisecondsMaximum(bounds, { intervalMilliseconds }),
      ),
    ),
  };
}

/**
 * Returns the longest watch with which API keys can be decided on at any time.
 * Only the start of a watch confirms the rules, so their age reaches two watches
 * and the interval between them.
 */
function getWatchMillisecondsMaximum(
  { withdrawalMilliseconds }: SourceBounds,
  { intervalMilliseconds }: { readonly intervalMilliseconds: number },
): number {
  return withdrawalMilliseconds === undefined
    ? Number.POSITIVE_INFINITY
    : Math.round(
      (withdrawalMilliseconds * rulesAgeFraction - intervalMilliseconds) / 2,
    );
}
