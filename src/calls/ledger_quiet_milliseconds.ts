/**
 * The quiet period, for which a new ledger allows no key to run. A node whose
 * connections to another node are refused repeatedly, never this long apart,
 * can conclude that no process there ran a key in between.
 */
export const ledgerQuietMilliseconds = 2000;
