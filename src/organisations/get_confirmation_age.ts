import type { ClockReading } from "../runtime/clock_reading.ts";
import { getElapsedMilliseconds } from "../runtime/get_elapsed_milliseconds.ts";
import type { RulesConfirmation } from "./rules_confirmation.ts";

/**
 * Returns the milliseconds since the rules were certainly current; infinity if
 * they never were.
 */
export function getConfirmationAge(
  { confirmedAt }: Pick<RulesConfirmation, "confirmedAt">,
  now: ClockReading,
): number {
  return confirmedAt === undefined
    ? Number.POSITIVE_INFINITY
    : getElapsedMilliseconds(confirmedAt, now);
}
