import { createKeptMap } from "../../calls/create_kept_map.ts";
import type { KeptMap } from "../../calls/kept_map.ts";
import type { LedgerEntry } from "../../calls/ledger_entry.ts";
import { LedgerEntryKind } from "../../calls/ledger_entry_kind.ts";

const storedAnswerBytesMaximum = 16 * 1024 * 1024;

/** Creates an empty map of ledger entries. If the stored answers exceed 16 MiB, the oldest are dropped but their keys are kept. */
export function createLedgerEntries(): KeptMap<LedgerEntry> {
  return createKeptMap<LedgerEntry>({
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
