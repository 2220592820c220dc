/**
 * Time for which the status of an offer is known after its reply, or after the
 * query that arrived before it. An offer that is delayed for longer meets a
 * connection that the other node has closed.
 */
export const recentOfferMilliseconds = 10_000;
