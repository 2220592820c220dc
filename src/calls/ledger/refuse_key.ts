import { LedgerEffectKind } from "../ledger_effect_kind.ts";
import type { LedgerEntry } from "../ledger_entry.ts";
import type { LedgerStep } from "../ledger_step.ts";
import { RefusalReason } from "../refusal_reason.ts";

/** Refuses an attempt with a key. */
export function refuseKey(
  entry: LedgerEntry | undefined,
  event: { readonly attemptIdentifier: string },
  options: { readonly reason: RefusalReason; readonly mayHaveRun: boolean },
): LedgerStep {
  const { attemptIdentifier } = event;
  return {
    entry,
    effects: [{
      kind: LedgerEffectKind.Refuse,
      attemptIdentifier,
      ...options,
    }],
  };
}
