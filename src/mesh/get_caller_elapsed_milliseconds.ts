/** Callers of a route allow their first attempts times that differ by up to this share. */
const timeoutSpreadShare = 0.15;

/**
 * Estimates how long a caller has been trying already, in milliseconds. A
 * caller that comes back has less time left than callers of the route have at
 * first. Within the scatter of first attempts it counts as one of these.
 */
export function getCallerElapsedMilliseconds(
  options: {
    readonly remainingMilliseconds: number;
    /** The longest time that a caller of the route said it waits. */
    readonly longestMilliseconds: number;
  },
): number {
  const { remainingMilliseconds, longestMilliseconds } = options;
  const shortestFirstTimeout = longestMilliseconds * (1 - timeoutSpreadShare);
  if (remainingMilliseconds >= shortestFirstTimeout) return 0;
  const usualFirstTimeout = longestMilliseconds * (1 - timeoutSpreadShare / 2);
  return usualFirstTimeout - remainingMilliseconds;
}
