/** The largest difference between two clocks that the ledgers tolerate. */
export const ledgerClockSkewMilliseconds = 500;
