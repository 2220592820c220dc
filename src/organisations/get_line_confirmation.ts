import type { ClockReading } from "../runtime/clock_reading.ts";
import type { FeedLine } from "../source/feed_line.ts";

/**
 * Returns the latest instant at which the rules were certainly current after a
 * line of a neighbour's feed; undefined if the line does not state their age.
 *
 * The clocks of two VMs differ, so the instants of a feed are counted from the
 * request for it: its first line was written later. A line that was held up in
 * transit thus does not look younger than it is.
 */
export function getLineConfirmation(
  line: Pick<FeedLine, "sentAt" | "rulesAgeMilliseconds">,
  feed: {
    /** When this node requested the feed. */
    readonly requestedAt: ClockReading;
    /** `sentAt` of the first line. */
    readonly firstSentAt: number;
  },
): ClockReading | undefined {
  const { rulesAgeMilliseconds } = line;
  if (rulesAgeMilliseconds === undefined) return undefined;
  const { requestedAt, firstSentAt } = feed;
  const elapsedMilliseconds = line.sentAt - firstSentAt -
    Math.max(0, rulesAgeMilliseconds);
  return {
    monotonic: requestedAt.monotonic + elapsedMilliseconds,
    timeOfDay: requestedAt.timeOfDay + elapsedMilliseconds,
  };
}
