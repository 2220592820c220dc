import { createDispatchState } from "../../calls/create_dispatch_state.ts";
import type { DispatchEvent } from "../../calls/dispatch_event.ts";
import { DispatchEventKind } from "../../calls/dispatch_event_kind.ts";
import { DispatchPhase } from "../../calls/dispatch_phase.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import { getAttemptIdentifier } from "../../calls/get_attempt_identifier.ts";
import { getDispatchRefusalReason } from "../../calls/get_dispatch_refusal_reason.ts";
import { getDispatchWakeAt } from "../../calls/get_dispatch_wake_at.ts";
import type { Settlement } from "../../calls/settlement.ts";
import { SettlementKind } from "../../calls/settlement_kind.ts";
import { stepDispatch } from "../../calls/step_dispatch.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import type { CallsNode } from "./calls_node.ts";
import { executeDispatchEffect } from "./execute_dispatch_effect.ts";
import { createDispatchControl } from "./create_dispatch_control.ts";
import { createReschedulableTimer } from "./create_reschedulable_timer.ts";
import type { DispatchControl } from "./dispatch_control.ts";
import type { DispatchRun } from "./dispatch_run.ts";

/**
 * Runs one attempt on the node beside its backend server: consults the ledger and
 * the admission, dispatches the call and passes the answer to `receiver`. A
 * duplicate of an earlier attempt is not run: its connection is closed, so that
 * the sender queries the outcome, and undefined is returned.
 */
export function runForwardedCall(
  node: CallsNode,
  call: ForwardedCall,
  options: { readonly receiver: AnswerReceiver; readonly remote: boolean },
): DispatchControl | undefined {
  const { clock } = node.options.environment;
  const attemptIdentifier = getAttemptIdentifier(call);
  const settlement = node.records.get(attemptIdentifier, clock.now());
  const isDuplicate = node.dispatches.has(attemptIdentifier) ||
    (settlement !== undefined && settlement.kind !== SettlementKind.NotRun);
  if (isDuplicate) {
    options.receiver.onContactLost();
    return undefined;
  }
  const run = createDispatchRun(node, call, { ...options, attemptIdentifier });
  const control = createDispatchControl(run, options);
  node.dispatches.set(attemptIdentifier, control);
  run.apply({
    kind: DispatchEventKind.Arrived,
    refusalReason: getRefusalReason(node, call, { settlement }),
  });
  return control;
}

function createDispatchRun(
  node: CallsNode,
  call: ForwardedCall,
  options: {
    readonly receiver: AnswerReceiver;
    readonly remote: boolean;
    readonly attemptIdentifier: string;
  },
): DispatchRun {
  const { receiver, remote, attemptIdentifier } = options;
  const { clock, timers } = node.options.environment;
  const timer = createReschedulableTimer(
    timers,
    () => apply({ kind: DispatchEventKind.TimerFired }),
  );
  const apply = (event: DispatchEvent) => {
    const step = stepDispatch(run.state, event, {
      now: clock.now(),
      confirmingView: node.confirmingView,
    });
    run.state = step.state;
    step.effects.forEach((effect) => executeDispatchEffect(run, effect));
    timer.setInstant(getDispatchWakeAt(run.state));
    if (run.state.phase === DispatchPhase.Ended) {
      node.dispatches.delete(attemptIdentifier);
      node.onEnded();
    }
  };
  const run: DispatchRun = {
    node,
    call,
    attemptIdentifier,
    receiver,
    apply,
    state: createDispatchState({
      idempotent: call.idempotent,
      keyed: call.key !== undefined,
      deadline: call.deadline,
      now: clock.now(),
      remote,
    }),
    exchange: undefined,
    answer: undefined,
  };
  return run;
}

function getRefusalReason(
  node: CallsNode,
  call: ForwardedCall,
  recorded: { readonly settlement: Settlement | undefined },
) {
  const { snapshot, confirmingView, draining } = node;
  const { backendServer } = call;
  return getDispatchRefusalReason({
    hasSnapshot: snapshot !== undefined,
    isRegistered: snapshot?.backendServers.has(backendServer) ?? false,
    confirmingView,
    draining,
    ownBackendServer: node.options.settings.backendServer?.name,
  }, { backendServer, ...recorded });
}
