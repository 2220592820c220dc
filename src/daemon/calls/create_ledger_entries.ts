import { createExpiringMap } from "../../calls/create_expiring_map.ts";
import type { ExpiringMap } from "../../calls/expiring_map.ts";
import type { LedgerEntry } from "../../calls/ledger_entry.ts";
import { LedgerEntryKind } from "../../calls/ledger_entry_kind.ts";

const keptAnswerBytes = 16 * 1024 * 1024;

/** Creates an empty ledger; beyond 16 MiB the oldest answers are dropped, not their keys. */
export function createLedgerEntries(): ExpiringMap<LedgerEntry> {
  return createExpiringMap<LedgerEntry>({
    maximumBytes: keptAnswerBytes,
    getBytes: (entry) =>
      entry.kind === LedgerEntryKind.Finished
        ? entry.answer?.body.byteLength ?? 0
        : 0,
    strip: (entry) =>
      entry.kind === LedgerEntryKind.Finished
        ? { ...entry, answer: undefined }
        : entry,
  });
}
