import type { CallRoute } from "../routing/call_route.ts";
import { getCallerElapsedMilliseconds } from "./get_caller_elapsed_milliseconds.ts";

/**
 * Returns the instant until which an answer meets the route's latency goal. The
 * goal is counted from the caller's first attempt.
 */
export function getGoalDeadline(
  route: CallRoute,
  options: {
    readonly remainingMilliseconds: number;
    /** The longest remaining time that a caller of the route has sent. */
    readonly longestMilliseconds: number;
    readonly now: number;
  },
): number {
  return options.now + route.goalMilliseconds -
    getCallerElapsedMilliseconds(options);
}
