import type { DispatchEffect } from "../dispatch_effect.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import { SettlementKind } from "../settlement_kind.ts";

/** Creates the effect that records how an attempt ended, also in the ledger. */
export function createOutcomeRecord(
  outcome:
    | SettlementKind.Finished
    | SettlementKind.NotRun
    | SettlementKind.Unknown,
  withAnswer: boolean,
): DispatchEffect {
  return { kind: DispatchEffectKind.RecordOutcome, outcome, withAnswer };
}
