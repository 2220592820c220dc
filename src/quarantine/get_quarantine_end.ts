import type { Suspect } from "./suspect.ts";

/** A second crash may still be a coincidence. */
const shortQuarantineCrashes = 2;
const shortQuarantineMilliseconds = 10_000;
const longQuarantineCrashes = 3;
/** Long enough for operators to find the request in the logs and to mend its service. */
const longQuarantineMilliseconds = 600_000;

/**
 * Returns the instant until which a request is refused, in milliseconds since
 * the Unix epoch; 0 if it may run.
 */
export function getQuarantineEnd(suspect: Suspect | undefined): number {
  if (suspect === undefined || suspect.crashes < shortQuarantineCrashes) {
    return 0;
  }
  return suspect.lastCrashAt +
    (suspect.crashes < longQuarantineCrashes
      ? shortQuarantineMilliseconds
      : longQuarantineMilliseconds);
}
