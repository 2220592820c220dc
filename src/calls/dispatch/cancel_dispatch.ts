import { DispatchResult } from "../../admission/dispatch_result.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { createOutcomeRecord } from "./create_outcome_record.ts";
import { createReport } from "./create_report.ts";
import { endDispatch } from "./end_dispatch.ts";

/** Cancels a running attempt. */
export function cancelDispatch(state: DispatchState): DispatchStep {
  return endDispatch(state, [
    { kind: DispatchEffectKind.CancelDispatch },
    createReport(state, DispatchResult.Cancelled),
    createOutcomeRecord(SettlementKind.Unknown, false),
  ]);
}
