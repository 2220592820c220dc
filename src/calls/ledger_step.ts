import type { LedgerEffect } from "./ledger_effect.ts";
import type { LedgerEntry } from "./ledger_entry.ts";

/** The outcome of one step: the key's new entry (undefined: none) and what has to be done, in order. */
export interface LedgerStep {
  readonly entry: LedgerEntry | undefined;
  readonly effects: readonly LedgerEffect[];
}
