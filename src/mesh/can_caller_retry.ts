import type { CallRoute } from "../routing/call_route.ts";

/** Minimum share of the goal that another attempt takes. */
const attemptShare = 0.5;

/**
 * Returns whether callers of a route can retry after a refusal, which requires
 * a deadline clearly longer than the route's timeout.
 *
 * A call that a backend server makes for its own caller is not retried, since
 * its time ends with the route's timeout. Refusing such a call wastes the work
 * that led to it.
 */
export function canCallerRetry(
  route: CallRoute,
  options: {
    /** The longest remaining time that a caller of the route has sent. */
    readonly longestMilliseconds: number;
  },
): boolean {
  const spareMilliseconds = options.longestMilliseconds -
    route.timeoutMilliseconds;
  return spareMilliseconds >= route.goalMilliseconds * attemptShare;
}
