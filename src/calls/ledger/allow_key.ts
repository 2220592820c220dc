import { LedgerEffectKind } from "../ledger_effect_kind.ts";
import { LedgerEntryKind } from "../ledger_entry_kind.ts";
import type { LedgerStep } from "../ledger_step.ts";

/** Allows the attempt with the key to run. */
export function allowKey(
  call: { readonly fingerprint: string; readonly attemptIdentifier: string },
): LedgerStep {
  const { fingerprint, attemptIdentifier } = call;
  return {
    entry: {
      kind: LedgerEntryKind.Running,
      fingerprint,
      attemptIdentifier,
      joined: [],
    },
    effects: [{ kind: LedgerEffectKind.Allow, attemptIdentifier }],
  };
}
