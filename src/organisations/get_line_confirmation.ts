import type { ClockReading } from "../runtime/clock_reading.ts";
import type { FeedLine } from "../source/feed_line.ts";

/**
 * Returns the latest instant at which the rules were certainly current after a
 * line of a neighbour's feed; undefined if the line does not state their age.
 *
 * The clocks of two VMs differ, so the instants of a feed are counted from the
 * request for it: its first line was written later. A line that was held up in
 * transit thus does not look younger than it is.
 *
 * The steady clock of this node does not count a suspension, but that of the
 * neighbour goes on meanwhile. So the instant by each clock is at most the
 * present one.
 */
export function getLineConfirmation(
  line: Pick<FeedLine, "sentAt" | "rulesAgeMilliseconds">,
  feed: {
    /** When this node requested the feed. */
    readonly requestedAt: ClockReading;
    /** `sentAt` of the first line. */
    readonly firstSentAt: number;
    /** When this node applied the line. */
    readonly appliedAt: ClockReading;
  },
): ClockReading | undefined {
  const { rulesAgeMilliseconds } = line;
  if (rulesAgeMilliseconds === undefined) return undefined;
  const { requestedAt, firstSentAt, appliedAt } = feed;
  const elapsedMilliseconds = line.sentAt - firstSentAt -
    Math.max(0, rulesAgeMilliseconds);
  return {
    monotonic: Math.min(
      requestedAt.monotonic + elapsedMilliseconds,
      appliedAt.monotonic,
    ),
    timeOfDay: Math.min(
      requestedAt.timeOfDay + elapsedMilliseconds,
      appliedAt.timeOfDay,
    ),
  };
}
