import { match } from "ts-pattern";
import { AdmissionDecisionKind } from "../../admission/admission_decision_kind.ts";
import type { DispatchEffect } from "../../calls/dispatch_effect.ts";
import { DispatchEffectKind } from "../../calls/dispatch_effect_kind.ts";
import { DispatchEventKind } from "../../calls/dispatch_event_kind.ts";
import { SettlementKind } from "../../calls/settlement_kind.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import type { DispatchRun } from "./dispatch_run.ts";
import { dispatchToBackendServer } from "./dispatch_to_backend_server.ts";

type RecordedOutcome = Extract<
  DispatchEffect,
  { kind: DispatchEffectKind.RecordOutcome }
>["outcome"];

/** Executes one effect of an attempt. Frequent effects are matched first. */
export function executeDispatchEffect(
  run: DispatchRun,
  effect: DispatchEffect,
): void {
  const { node, attemptIdentifier } = run;
  const { admission } = node.options;
  match(effect)
    .with({ kind: DispatchEffectKind.RequestSlot }, () => requestSlot(run))
    .with({ kind: DispatchEffectKind.Dispatch }, () => dispatch(run))
    .with(
      { kind: DispatchEffectKind.Report },
      ({ result, dispatchedAt }) => {
        const callIdentifier = attemptIdentifier;
        admission.report({ callIdentifier, result, dispatchedAt });
      },
    )
    .with(
      { kind: DispatchEffectKind.RecordOutcome },
      ({ outcome, withAnswer }) =>
        recordOutcome(run, {
          outcome,
          answer: withAnswer ? run.answer : undefined,
        }),
    )
    .with({ kind: DispatchEffectKind.SendAnswer }, () => {
      sendAnswer(run, run.answer!);
    })
    .with({ kind: DispatchEffectKind.Refuse }, ({ refusal }) => {
      reportLoad(run);
      run.receiver?.onRefused(refusal);
    })
    .with({ kind: DispatchEffectKind.CancelDispatch }, () => {
      run.exchange?.cancel();
    })
    .with({ kind: DispatchEffectKind.ConsultLedger }, () => consultLedger(run))
    .with({ kind: DispatchEffectKind.WithdrawRequest }, () => {
      admission.withdraw(attemptIdentifier);
    })
    .with({ kind: DispatchEffectKind.SendStoredAnswer }, ({ answer }) => {
      sendAnswer(run, answer);
    })
    .with({ kind: DispatchEffectKind.BeginStream }, () => {
      reportLoad(run);
      run.receiver?.onStreamStart(run.answer!.head);
    })
    .with({ kind: DispatchEffectKind.EndStream }, () => {
      run.receiver?.onStreamEnd();
    })
    .with({ kind: DispatchEffectKind.AbortStream }, () => {
      run.receiver?.onContactLost();
    })
    .with(
      { kind: DispatchEffectKind.SendInterimResponse },
      () => run.receiver?.onActivity(),
    )
    .exhaustive();
}

function reportLoad(run: DispatchRun): void {
  run.receiver?.onLoad(run.node.options.admission.getStatus().freeSlots);
}

function sendAnswer(run: DispatchRun, answer: StoredAnswer): void {
  reportLoad(run);
  run.receiver?.onCompleteAnswer(answer);
}

function requestSlot(run: DispatchRun): void {
  const { call, attemptIdentifier, apply } = run;
  run.node.options.admission.request({
    callIdentifier: attemptIdentifier,
    priority: call.priority,
    deadline: call.deadline,
  }, (decision) => {
    if (decision.kind === AdmissionDecisionKind.Admitted) {
      apply({ kind: DispatchEventKind.Admitted });
      return;
    }
    const { reason, retryAt } = decision;
    apply({ kind: DispatchEventKind.AdmissionRefused, reason, retryAt });
  });
}

function dispatch(run: DispatchRun): void {
  run.exchange = dispatchToBackendServer(run.node, run.call, {
    onEvent: run.apply,
    onAnswer: (answer) => {
      run.answer = answer;
    },
    onChunk: (chunk) => run.receiver?.onChunk(chunk) ?? true,
  });
}

function consultLedger(run: DispatchRun): void {
  const { node, call, apply } = run;
  node.ledger.request(call, {
    onAllowed: () => apply({ kind: DispatchEventKind.KeyAllowed }),
    onJoined: () => apply({ kind: DispatchEventKind.KeyJoined }),
    onAnswered: (answer) =>
      apply({ kind: DispatchEventKind.KeyAnswered, answer }),
    onRefused: (refused) =>
      apply({ kind: DispatchEventKind.KeyRefused, ...refused }),
  });
}

/** Records the outcome for outcome queries of other nodes, and reports it to the ledger. */
function recordOutcome(
  run: DispatchRun,
  end: {
    readonly outcome: RecordedOutcome;
    readonly answer: StoredAnswer | undefined;
  },
): void {
  const { node, call } = run;
  // Outcomes of idempotent calls are never queried: such a call may run again.
  if (call.idempotent) {
    return;
  }
  const { settings, environment } = node.options;
  const { outcome, answer } = end;
  node.records.sweep(environment.clock.now());
  node.records.set(
    run.attemptIdentifier,
    outcome === SettlementKind.Finished
      ? { kind: outcome, answer }
      : { kind: outcome },
    call.deadline + settings.timing.clockSkewMilliseconds,
  );
  if (call.key !== undefined) {
    node.ledger.recordAttemptEnd(call, end);
  }
}
