import type { DispatchEffect } from "../dispatch_effect.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import { SettlementKind } from "../settlement_kind.ts";

/** Creates the message to the ledger on how a try ended. */
export function createConclusion(
  outcome:
    | SettlementKind.Finished
    | SettlementKind.NotRun
    | SettlementKind.Unknown,
  withAnswer: boolean,
): DispatchEffect {
  return { kind: DispatchEffectKind.Conclude, outcome, withAnswer };
}
