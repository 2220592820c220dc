/** The idempotency key of every scenario about ledgers. */
export const ledgerKey = "bolo-de-casamento-1";
