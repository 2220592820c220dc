import type { ClockReading } from "../runtime/clock_reading.ts";
import type { RulesConfirmation } from "./rules_confirmation.ts";

/**
 * Records that the rules in force were current at an instant. Earlier instants
 * than the recorded one, and those before the end of a hold, are ignored.
 */
export function recordConfirmation(
  confirmation: RulesConfirmation,
  instant: ClockReading,
  options: {
    /** Instant before which nothing is confirmed, in milliseconds since the Unix epoch. */
    readonly heldUntil: number;
  },
): void {
  const { confirmedAt } = confirmation;
  const heldUntil = Math.max(confirmation.heldUntil, options.heldUntil);
  if (instant.monotonic < heldUntil) return;
  const isLater = confirmedAt === undefined ||
    instant.monotonic > confirmedAt.monotonic;
  if (isLater) confirmation.confirmedAt = instant;
}
