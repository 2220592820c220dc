import type { CallRoute } from "../routing/call_route.ts";
import { getCallerElapsedMilliseconds } from "./get_caller_elapsed_milliseconds.ts";

/**
 * Returns until when an answer has its full worth. The goal counts from the
 * caller's first attempt.
 */
export function getGoalDeadline(
  route: CallRoute,
  options: {
    readonly remainingMilliseconds: number;
    /** The longest time that a caller of the route said it waits. */
    readonly longestMilliseconds: number;
    readonly now: number;
  },
): number {
  return options.now + route.goalMilliseconds -
    getCallerElapsedMilliseconds(options);
}
