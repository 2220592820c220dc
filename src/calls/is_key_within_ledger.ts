import type { LedgerContext } from "./ledger_context.ts";

/**
 * Tells whether a ledger that began at `context.ledgerSince` has seen every
 * attempt with a key: its first attempt is later, or the ledger is older than
 * keys are kept.
 */
export function isKeyWithinLedger(
  firstAttemptAt: number | undefined,
  context: LedgerContext,
): boolean {
  const { now, ledgerSince, keyLifetimeMilliseconds, clockSkewMilliseconds } =
    context;
  const ledgerIsOld =
    ledgerSince + keyLifetimeMilliseconds + clockSkewMilliseconds < now;
  if (firstAttemptAt === undefined) {
    return ledgerIsOld;
  }
  const keyIsForgotten =
    firstAttemptAt + keyLifetimeMilliseconds < now + clockSkewMilliseconds;
  return !keyIsForgotten &&
    (ledgerIsOld || firstAttemptAt > ledgerSince + clockSkewMilliseconds);
}
