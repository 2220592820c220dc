import type { CallRoute } from "../routing/call_route.ts";

/** Share of the goal that another try takes at least. */
const attemptShare = 0.5;

/**
 * Whether callers of a route can try again after a refusal: they wait clearly
 * longer than the route's timeout. A call that a backend server makes for a
 * caller of its own is not made again, and refusing it wastes the work behind
 * it; the time that it is given ends with the route's timeout.
 */
export function canCallerRetry(
  route: CallRoute,
  options: {
    /** The longest time that a caller of the route said it waits. */
    readonly longestMilliseconds: number;
  },
): boolean {
  const spareMilliseconds = options.longestMilliseconds -
    route.timeoutMilliseconds;
  return spareMilliseconds >= route.goalMilliseconds * attemptShare;
}
