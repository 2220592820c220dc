/**
 * Time for which the status of an offer is known after its reply, or after the
 * query that arrived before it. The node that gave an offer up closes its
 * connection, so one that is delayed for longer is cancelled as soon as that
 * close is read.
 */
export const recentOfferMilliseconds = 10_000;
