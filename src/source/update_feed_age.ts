import type { FeedAge } from "./feed_age.ts";
import type { FeedLine } from "./feed_line.ts";

/**
 * Updates the age of the view after a line. The clocks of two VMs differ by an
 * unknown offset, so the transit time of a line is measured relative to the
 * fastest line so far.
 */
export function updateFeedAge(
  age: FeedAge,
  line: FeedLine,
  options: { readonly now: number },
): void {
  const { now } = options;
  const clockOffset = now - line.sentAt;
  age.minimumClockOffset = Math.min(age.minimumClockOffset, clockOffset);
  const transitMilliseconds = clockOffset - age.minimumClockOffset;
  age.confirmedAt = Math.max(
    age.confirmedAt,
    now - transitMilliseconds - Math.max(0, line.ageMilliseconds),
  );
}
