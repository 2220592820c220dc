import { DispatchResult } from "../../admission/dispatch_result.ts";
import type { DispatchContext } from "../dispatch_context.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import { DispatchPhase } from "../dispatch_phase.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { createOutcomeRecord } from "./create_outcome_record.ts";
import { createDispatchRefusal } from "./create_dispatch_refusal.ts";
import { createReport } from "./create_report.ts";
import { endDispatch } from "./end_dispatch.ts";

/** Handles an answer that was truncated or malformed; the attempt may have run. */
export function handleBrokenAnswer(
  state: DispatchState,
  context: DispatchContext,
): DispatchStep {
  const streaming = state.phase === DispatchPhase.Streaming;
  return endDispatch(state, [
    createReport(state, DispatchResult.Broken),
    createOutcomeRecord(SettlementKind.Unknown, false),
    streaming
      ? { kind: DispatchEffectKind.AbortStream }
      : createDispatchRefusal(state, RefusalReason.AnswerBroken, {
        now: context.now,
        outcome: Outcome.Unknown,
      }),
  ]);
}
