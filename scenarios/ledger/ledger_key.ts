/** The idempotency key in every simulation of ledgers. */
export const ledgerKey = "bolo-de-casamento-1";
