import type { LedgerEntry } from "../ledger_entry.ts";
import { LedgerEntryKind } from "../ledger_entry_kind.ts";

type Settling = Extract<LedgerEntry, { kind: LedgerEntryKind.Settling }>;

/** Returns whether a reply belongs to a pending query of the attempt that is settling the key. */
export function isSettlingFor(
  entry: LedgerEntry | undefined,
  event: { readonly attemptIdentifier: string; readonly from: string },
): entry is Settling {
  return entry?.kind === LedgerEntryKind.Settling &&
    entry.attemptIdentifier === event.attemptIdentifier &&
    entry.pending.includes(event.from);
}
