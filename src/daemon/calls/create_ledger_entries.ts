import { createExpiringMap } from "../../calls/create_expiring_map.ts";
import type { ExpiringMap } from "../../calls/expiring_map.ts";
import type { LedgerEntry } from "../../calls/ledger_entry.ts";
import { LedgerEntryKind } from "../../calls/ledger_entry_kind.ts";

const storedAnswerBytesMaximum = 16 * 1024 * 1024;

/** Creates an empty map of ledger entries. If the stored answers exceed 16 MiB, the oldest are dropped but their keys are kept. */
export function createLedgerEntries(): ExpiringMap<LedgerEntry> {
  return createExpiringMap<LedgerEntry>({
    maximumBytes: storedAnswerBytesMaximum,
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
