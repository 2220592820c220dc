/** Two clocks drift apart by at most 0.3 s in this time. */
const feedMillisecondsMaximum = 600_000;
/** Share of the withdrawal bound that the age may reach. */
const ageShareMaximum = 0.5;

/**
 * Returns whether a feed no longer shows well enough that the rules are current,
 * so that the node has to read the source once and to request a feed again.
 */
export function isFeedRenewalDue(
  options: {
    /** Time since the feed was requested. */
    readonly feedMilliseconds: number;
    /** Age of the rules at this node after the last line. */
    readonly ageMilliseconds: number;
    readonly withdrawalMilliseconds: number;
  },
): boolean {
  return options.feedMilliseconds >= feedMillisecondsMaximum ||
    options.ageMilliseconds >= options.withdrawalMilliseconds * ageShareMaximum;
}
