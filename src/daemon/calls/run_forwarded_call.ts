import { match } from "ts-pattern";
import { AdmissionDecisionKind } from "../../admission/admission_decision_kind.ts";
import { createDispatchState } from "../../calls/create_dispatch_state.ts";
import type { DispatchEffect } from "../../calls/dispatch_effect.ts";
import { DispatchEffectKind } from "../../calls/dispatch_effect_kind.ts";
import type { DispatchEvent } from "../../calls/dispatch_event.ts";
import { DispatchEventKind } from "../../calls/dispatch_event_kind.ts";
import { DispatchPhase } from "../../calls/dispatch_phase.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import { getAttemptIdentifier } from "../../calls/get_attempt_identifier.ts";
import { getDispatchObstacle } from "../../calls/get_dispatch_obstacle.ts";
import { getDispatchWakeAt } from "../../calls/get_dispatch_wake_at.ts";
import { SettlementKind } from "../../calls/settlement_kind.ts";
import { stepDispatch } from "../../calls/step_dispatch.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import type { CallsNode } from "./calls_node.ts";
import { createWakeTimer } from "./create_wake_timer.ts";
import type { DispatchControl } from "./dispatch_control.ts";
import { dispatchToBackendServer } from "./dispatch_to_backend_server.ts";
import type { Exchange } from "./exchange.ts";

/**
 * Runs one try on the node beside its backend server: asks the ledger and the
 * admission, dispatches, and gives the answer to `receiver`.
 */
export function runForwardedCall(
  node: CallsNode,
  call: ForwardedCall,
  options: { readonly receiver: AnswerReceiver; readonly remote: boolean },
): DispatchControl {
  const { receiver } = options;
  const { settings, environment, admission } = node.options;
  const { clock } = environment;
  const attemptIdentifier = getAttemptIdentifier(call);
  let state = createDispatchState({
    idempotent: call.idempotent,
    keyed: call.key !== undefined,
    deadline: call.deadline,
    now: clock.now(),
    remote: options.remote,
  });
  let exchange: Exchange | undefined;
  let answer: StoredAnswer | undefined;
  let listening = true;

  const wakeTimer = createWakeTimer(
    environment.timers,
    () => apply({ kind: DispatchEventKind.Woke }),
  );
  const apply = (event: DispatchEvent) => {
    const step = stepDispatch(state, event, {
      now: clock.now(),
      confirmingView: node.confirmingView,
    });
    state = step.state;
    step.effects.forEach(carryOut);
    wakeTimer.setInstant(getDispatchWakeAt(state));
    if (state.phase === DispatchPhase.Ended) {
      node.dispatches.delete(attemptIdentifier);
      node.onEnded();
    }
  };
  const reportLoad = () => receiver.onLoad(admission.getStatus().freeSlots);
  const carryOut = (effect: DispatchEffect): void =>
    match(effect)
      .with({ kind: DispatchEffectKind.RequestSlot }, requestSlot)
      .with({ kind: DispatchEffectKind.Dispatch }, dispatch)
      .with(
        { kind: DispatchEffectKind.Report },
        ({ result, dispatchedAt }) =>
          admission.report({
            callIdentifier: attemptIdentifier,
            result,
            dispatchedAt,
          }),
      )
      .with(
        { kind: DispatchEffectKind.Conclude },
        ({ outcome, withAnswer }) =>
          conclude(outcome, withAnswer ? answer : undefined),
      )
      .with(
        { kind: DispatchEffectKind.SendAnswer },
        () => sendAnswer(answer!),
      )
      .with({ kind: DispatchEffectKind.Refuse }, ({ refusal }) => {
        if (listening) {
          reportLoad();
          receiver.onRefused(refusal);
        }
      })
      .with(
        { kind: DispatchEffectKind.CancelDispatch },
        () => exchange?.cancel(),
      )
      .with({ kind: DispatchEffectKind.ConsultLedger }, () =>
        node.ledger.request(call, {
          onAllowed: () =>
            apply({ kind: DispatchEventKind.KeyAllowed }),
          onAnswered: (stored) =>
            apply({ kind: DispatchEventKind.KeyAnswered, answer: stored }),
          onRefused: (refused) =>
            apply({ kind: DispatchEventKind.KeyRefused, ...refused }),
        }))
      .with(
        { kind: DispatchEffectKind.WithdrawRequest },
        () =>
          admission.withdraw(attemptIdentifier),
      )
      .with(
        { kind: DispatchEffectKind.SendStoredAnswer },
        (stored) => sendAnswer(stored.answer),
      )
      .with({ kind: DispatchEffectKind.BeginStream }, () => {
        if (listening) {
          reportLoad();
          receiver.onStream(answer!.head);
        }
      })
      .with({ kind: DispatchEffectKind.EndStream }, () => {
        if (listening) {
          receiver.onStreamEnd();
        }
      })
      .with({ kind: DispatchEffectKind.BreakStream }, () => {
        if (listening) {
          receiver.onLost();
        }
      })
      .with({ kind: DispatchEffectKind.SendSign }, () => receiver.onSign())
      .exhaustive();
  const sendAnswer = (whole: StoredAnswer) => {
    if (listening) {
      reportLoad();
      receiver.onWhole(whole);
    }
  };
  const requestSlot = () =>
    admission.request({
      callIdentifier: attemptIdentifier,
      priority: call.priority,
      deadline: call.deadline,
    }, (decision) =>
      apply(
        decision.kind === AdmissionDecisionKind.Admitted
          ? { kind: DispatchEventKind.Admitted }
          : {
            kind: DispatchEventKind.AdmissionRefused,
            reason: decision.reason,
            retryAt: decision.retryAt,
          },
      ));
  const dispatch = () => {
    exchange = dispatchToBackendServer(node, call, {
      onEvent: apply,
      onAnswer: (received) => {
        answer = received;
      },
      onPiece: (piece) => listening ? receiver.onPiece(piece) : true,
    });
  };
  const conclude = (
    outcome:
      | SettlementKind.Finished
      | SettlementKind.NotRun
      | SettlementKind.Unknown,
    kept: StoredAnswer | undefined,
  ) => {
    if (call.idempotent) {
      return;
    }
    const now = clock.now();
    node.records.sweep(now);
    node.records.set(
      attemptIdentifier,
      outcome === SettlementKind.Finished
        ? { kind: outcome, answer: kept }
        : { kind: outcome },
      call.deadline + settings.timing.clockSkewMilliseconds,
    );
    node.ledger.conclude(call, outcome, kept);
  };
  const stopListening = (event: DispatchEvent) => {
    listening = false;
    apply(event);
    exchange?.resume();
  };

  const control: DispatchControl = {
    remote: options.remote,
    contactLost: () => stopListening({ kind: DispatchEventKind.ContactLost }),
    callerLeft: () => stopListening({ kind: DispatchEventKind.CallerLeft }),
    asked: () => apply({ kind: DispatchEventKind.Asked }),
    resume: () => exchange?.resume(),
    stop: () => apply({ kind: DispatchEventKind.Stopped }),
  };
  const settlement = node.records.get(attemptIdentifier, clock.now());
  const mayHaveRun = settlement !== undefined &&
    settlement.kind !== SettlementKind.NotRun;
  if (mayHaveRun || node.dispatches.has(attemptIdentifier)) {
    // The same try again: it is not run, and its outcome has to be asked for.
    receiver.onLost();
    return control;
  }
  node.dispatches.set(attemptIdentifier, control);
  apply({
    kind: DispatchEventKind.Arrived,
    obstacle: getDispatchObstacle({
      hasSnapshot: node.snapshot !== undefined,
      isRegistered: node.snapshot?.backendServers.has(call.backendServer) ??
        false,
      confirmingView: node.confirmingView,
      draining: node.draining,
      ownBackendServer: settings.backendServer?.name,
    }, {
      backendServer: call.backendServer,
      settlement,
    }),
  });
  return control;
}
