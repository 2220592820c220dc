import type { LedgerEffect } from "./ledger_effect.ts";
import type { LedgerEntry } from "./ledger_entry.ts";

/**
 * The result of one step: the key's new entry (undefined if it has none) and
 * the effects to perform, in order.
 */
export interface LedgerStep {
  readonly entry: LedgerEntry | undefined;
  readonly effects: readonly LedgerEffect[];
}
