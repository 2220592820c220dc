/** The largest difference between two clocks that the ledgers allow for, in milliseconds. */
export const ledgerClockSkewMilliseconds = 500;
