/**
 * Time for which the status of an offer is known after its reply, or after the
 * query that arrived before it. An offer that
 * arrives later still is cancelled when the close of its connection is read.
 */
export const recentOfferMilliseconds = 10_000;
