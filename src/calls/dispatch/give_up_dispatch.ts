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
import { concludeNotRun } from "./conclude_not_run.ts";
import { createConclusion } from "./create_conclusion.ts";
import { createDispatchRefusal } from "./create_dispatch_refusal.ts";
import { createReport } from "./create_report.ts";
import { endDispatch } from "./end_dispatch.ts";
import { getWaitingOutcome } from "./get_waiting_outcome.ts";

/** Ends the try: what waits is refused as not run, what runs is cut. */
export function giveUpDispatch(
  state: DispatchState,
  reason: RefusalReason,
  context: DispatchContext,
): DispatchStep {
  return match(state.phase)
    .with(
      DispatchPhase.AwaitingLedger,
      () =>
        state.joinsRun
          ? leaveRun(state, reason, context)
          : concludeNotRun(state, reason, context),
    )
    .with(DispatchPhase.Queued, () => {
      const step = concludeNotRun(state, reason, context);
      return {
        ...step,
        effects: [
          { kind: DispatchEffectKind.WithdrawRequest } as const,
          ...step.effects,
        ],
      };
    })
    .with(DispatchPhase.Running, () =>
      cutRun(state, [
        createDispatchRefusal(state, reason, {
          now: context.now,
          outcome: Outcome.Unknown,
        }),
      ]))
    .with(
      DispatchPhase.Streaming,
      () => cutRun(state, [{ kind: DispatchEffectKind.BreakStream }]),
    )
    .with(DispatchPhase.Ended, () => ({ state, effects: [] }))
    .exhaustive();
}

function leaveRun(
  state: DispatchState,
  reason: RefusalReason,
  context: DispatchContext,
): DispatchStep {
  return endDispatch(state, [
    createConclusion(getWaitingOutcome(state), false),
    createDispatchRefusal(state, reason, {
      now: context.now,
      outcome: Outcome.Unknown,
    }),
  ]);
}

function cutRun(
  state: DispatchState,
  effects: readonly DispatchEffect[],
): DispatchStep {
  return endDispatch(state, [
    { kind: DispatchEffectKind.CancelDispatch },
    createReport(state, DispatchResult.Broken),
    createConclusion(SettlementKind.Unknown, false),
    ...effects,
  ]);
}
