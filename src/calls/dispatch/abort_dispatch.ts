import { match } from "ts-pattern";
import { DispatchResult } from "../../admission/dispatch_result.ts";
import type { DispatchContext } from "../dispatch_context.ts";
import type { DispatchEffect } from "../dispatch_effect.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import { DispatchPhase } from "../dispatch_phase.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { refuseAndRecord } from "./refuse_and_record.ts";
import { createOutcomeRecord } from "./create_outcome_record.ts";
import { createDispatchRefusal } from "./create_dispatch_refusal.ts";
import { createReport } from "./create_report.ts";
import { endDispatch } from "./end_dispatch.ts";
import { getUndispatchedOutcome } from "./get_undispatched_outcome.ts";

/**
 * Aborts the attempt: one that waits is refused as not run, one that runs is
 * cancelled with an unknown outcome.
 */
export function abortDispatch(
  state: DispatchState,
  reason: RefusalReason,
  context: DispatchContext,
): DispatchStep {
  return match(state.phase)
    .with(
      DispatchPhase.AwaitingLedger,
      () =>
        state.joinsRun
          ? abortJoinedAttempt(state, reason, context)
          : refuseAndRecord(state, reason, context),
    )
    .with(DispatchPhase.Queued, () => {
      const step = refuseAndRecord(state, reason, context);
      return {
        ...step,
        effects: [
          { kind: DispatchEffectKind.WithdrawRequest } as const,
          ...step.effects,
        ],
      };
    })
    .with(DispatchPhase.Running, () =>
      abortRun(state, [
        createDispatchRefusal(state, reason, {
          now: context.now,
          outcome: Outcome.Unknown,
        }),
      ]))
    .with(
      DispatchPhase.Streaming,
      () => abortRun(state, [{ kind: DispatchEffectKind.AbortStream }]),
    )
    .with(DispatchPhase.Ended, () => ({ state, effects: [] }))
    .exhaustive();
}

function abortJoinedAttempt(
  state: DispatchState,
  reason: RefusalReason,
  context: DispatchContext,
): DispatchStep {
  return endDispatch(state, [
    createOutcomeRecord(getUndispatchedOutcome(state), false),
    createDispatchRefusal(state, reason, {
      now: context.now,
      outcome: Outcome.Unknown,
    }),
  ]);
}

function abortRun(
  state: DispatchState,
  effects: readonly DispatchEffect[],
): DispatchStep {
  return endDispatch(state, [
    { kind: DispatchEffectKind.CancelDispatch },
    createReport(state, DispatchResult.Broken),
    createOutcomeRecord(SettlementKind.Unknown, false),
    ...effects,
  ]);
}
