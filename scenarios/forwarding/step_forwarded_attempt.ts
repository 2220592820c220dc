import { match, P } from "ts-pattern";
import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import type { DispatchEffect } from "../../src/calls/dispatch_effect.ts";
import { DispatchEffectKind } from "../../src/calls/dispatch_effect_kind.ts";
import type { DispatchEvent } from "../../src/calls/dispatch_event.ts";
import { SettlementKind } from "../../src/calls/settlement_kind.ts";
import { stepDispatch } from "../../src/calls/step_dispatch.ts";
import type { ForwardedAttempt } from "./forwarded_attempt.ts";
import type { ForwardingSimulation } from "./forwarding_simulation.ts";

/**
 * Applies an event to the state of an attempt at its node, and the resulting
 * effects to the attempt. Does nothing if the attempt has not arrived.
 */
export function stepForwardedAttempt(
  simulation: ForwardingSimulation,
  attempt: ForwardedAttempt,
  event: DispatchEvent,
): void {
  if (attempt.state === undefined) {
    return;
  }
  const step = stepDispatch(attempt.state, event, { now: simulation.now });
  attempt.state = step.state;
  step.effects.forEach((effect) => applyEffect(attempt, effect));
}

function applyEffect(attempt: ForwardedAttempt, effect: DispatchEffect): void {
  match(effect)
    .with({ kind: DispatchEffectKind.Dispatch }, () => {
      attempt.runs += 1;
    })
    .with({ kind: DispatchEffectKind.RecordOutcome }, ({ outcome }) => {
      attempt.settlement = outcome === SettlementKind.Finished
        ? { kind: outcome, answer: undefined }
        : { kind: outcome };
    })
    .with(
      { kind: DispatchEffectKind.Refuse },
      ({ refusal }) =>
        void attempt.replies.push({ kind: CallEventKind.Refused, refusal }),
    )
    .with(
      { kind: DispatchEffectKind.SendAnswer },
      () => void attempt.replies.push({ kind: CallEventKind.AnswerCompleted }),
    )
    .with(
      { kind: DispatchEffectKind.SendInterimResponse },
      () => void attempt.replies.push({ kind: CallEventKind.ActivityObserved }),
    )
    .with({
      kind: P.union(
        DispatchEffectKind.BeginStream,
        DispatchEffectKind.AbortStream,
        DispatchEffectKind.CancelDispatch,
        DispatchEffectKind.ConsultLedger,
        DispatchEffectKind.EndStream,
        DispatchEffectKind.Report,
        DispatchEffectKind.RequestSlot,
        DispatchEffectKind.SendStoredAnswer,
        DispatchEffectKind.WithdrawRequest,
      ),
    }, () => {})
    .exhaustive();
}
