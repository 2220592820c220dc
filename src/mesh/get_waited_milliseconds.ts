/** Callers of a route allow their first attempts times that differ by up to this share. */
const scatterShare = 0.15;

/**
 * Estimates how long a caller has been trying already, in milliseconds. A
 * caller that comes back has less time left than callers of the route have at
 * first. Within the scatter of first attempts it counts as one of these.
 */
export function getWaitedMilliseconds(
  options: {
    readonly remainingMilliseconds: number;
    /** The longest time that a caller of the route said it waits. */
    readonly longestMilliseconds: number;
  },
): number {
  const { remainingMilliseconds, longestMilliseconds } = options;
  const shortestAtFirst = longestMilliseconds * (1 - scatterShare);
  if (remainingMilliseconds >= shortestAtFirst) return 0;
  const usualAtFirst = longestMilliseconds * (1 - scatterShare / 2);
  return usualAtFirst - remainingMilliseconds;
}
