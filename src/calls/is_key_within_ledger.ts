import type { LedgerContext } from "./ledger_context.ts";

/**
 * Returns whether a ledger that began at `context.ledgerSince` covers every
 * attempt with a key: the first attempt was made later, or the ledger has
 * existed for longer than keys are kept. Returns false for a key that has
 * expired.
 */
export function isKeyWithinLedger(
  firstAttemptAt: number | undefined,
  context: LedgerContext,
): boolean {
  const { now, ledgerSince, keyLifetimeMilliseconds, clockSkewMilliseconds } =
    context;
  const isOlderThanKeys =
    ledgerSince + keyLifetimeMilliseconds + clockSkewMilliseconds < now;
  if (firstAttemptAt === undefined) {
    return isOlderThanKeys;
  }
  const isKeyExpired =
    firstAttemptAt + keyLifetimeMilliseconds < now + clockSkewMilliseconds;
  return !isKeyExpired &&
    (isOlderThanKeys || firstAttemptAt > ledgerSince + clockSkewMilliseconds);
}
