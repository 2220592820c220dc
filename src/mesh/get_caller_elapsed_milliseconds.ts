/**
 * Timeouts of first attempts differ by up to this share between the callers of
 * a route.
 */
const timeoutSpreadShare = 0.15;

/**
 * Estimates how long ago the caller sent its first attempt, in milliseconds.
 *
 * On a retry the caller has less time left than callers of the route have on a
 * first attempt. A remaining time within the spread of first attempts counts as
 * a first attempt.
 */
export function getCallerElapsedMilliseconds(
  options: {
    readonly remainingMilliseconds: number;
    /** The longest remaining time that a caller of the route has sent. */
    readonly longestMilliseconds: number;
  },
): number {
  const { remainingMilliseconds, longestMilliseconds } = options;
  const shortestFirstTimeout = longestMilliseconds * (1 - timeoutSpreadShare);
  if (remainingMilliseconds >= shortestFirstTimeout) return 0;
  const usualFirstTimeout = longestMilliseconds * (1 - timeoutSpreadShare / 2);
  return usualFirstTimeout - remainingMilliseconds;
}
