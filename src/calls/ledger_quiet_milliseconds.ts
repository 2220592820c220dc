/**
 * How long after its beginning a ledger lets no key run. Whoever finds that
 * connections to a node are refused again and again, never this far apart,
 * knows that no process there ran a key in between.
 */
export const ledgerQuietMilliseconds = 2000;
