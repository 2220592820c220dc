import type { LedgerEntry } from "../ledger_entry.ts";
import { LedgerEntryKind } from "../ledger_entry_kind.ts";
import type { LedgerStep } from "../ledger_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { createFence } from "./create_fence.ts";
import { refuseKey } from "./refuse_key.ts";

type Settling = Extract<LedgerEntry, { kind: LedgerEntryKind.Settling }>;

/** Stops settling the key and refuses the attempt. The servers that fenced the key before settling began remain recorded as its fencers. */
export function abortSettling(
  entry: Settling,
  options: { readonly reason: RefusalReason; readonly mayHaveRun: boolean },
): LedgerStep {
  return refuseKey(createFence(entry.fencers), entry, options);
}
