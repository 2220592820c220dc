/** Time in which the source lists all live backend servers again after an outage. */
const relistMilliseconds = 2_200;

/**
 * Returns when a removal counts that is recorded at `now`, in milliseconds since
 * the Unix epoch. During an outage of the source, entries expire although their
 * backend servers are alive, so removals wait until it has responded for some
 * time without a failure.
 */
export function getRemovalConfirmedAt(
  options: {
    /** Instant since which the source has responded without a failure, in milliseconds since the Unix epoch; infinity while it fails. */
    readonly sourceAvailableSince: number;
    readonly now: number;
  },
): number {
  return Math.max(
    options.now,
    options.sourceAvailableSince + relistMilliseconds,
  );
}
