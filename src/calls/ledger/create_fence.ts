import type { LedgerEntry } from "../ledger_entry.ts";
import { LedgerEntryKind } from "../ledger_entry_kind.ts";
import type { LedgerServer } from "../ledger_server.ts";

/** Returns the entry of a key that only other ledgers have queried; undefined if none did. */
export function createFence(
  fencers: readonly LedgerServer[],
): LedgerEntry | undefined {
  return fencers.length === 0
    ? undefined
    : { kind: LedgerEntryKind.Fenced, fencers };
}
