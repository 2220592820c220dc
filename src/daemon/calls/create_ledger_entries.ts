import { createKeptMap } from "../../calls/create_kept_map.ts";
import type { KeptMap } from "../../calls/kept_map.ts";
import type { LedgerEntry } from "../../calls/ledger_entry.ts";
import { LedgerEntryKind } from "../../calls/ledger_entry_kind.ts";

const keptAnswerBytes = 16 * 1024 * 1024;

/** Creates an empty ledger; beyond 16 MiB the oldest answers are dropped, not their keys. */
export function createLedgerEntries(): KeptMap<LedgerEntry> {
  return createKeptMap<LedgerEntry>({
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
