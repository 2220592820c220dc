import type { ServerResponse } from "node:http";
import { match } from "ts-pattern";
import type { CallEffect } from "../../calls/call_effect.ts";
import { CallEffectKind } from "../../calls/call_effect_kind.ts";
import type { CallEvent } from "../../calls/call_event.ts";
import { CallEventKind } from "../../calls/call_event_kind.ts";
import { CallPhase } from "../../calls/call_phase.ts";
import type { CallerCall } from "../../calls/caller_call.ts";
import { createCallState } from "../../calls/create_call_state.ts";
import { createRefusal } from "../../calls/create_refusal.ts";
import { depositCall } from "../../calls/deposit_call.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import { isRetryAllowed } from "../../calls/is_retry_allowed.ts";
import { isWorkRefused } from "../../calls/is_work_refused.ts";
import { Outcome } from "../../calls/outcome.ts";
import type { Refusal } from "../../calls/refusal.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { spendRetry } from "../../calls/spend_retry.ts";
import { stepCall } from "../../calls/step_call.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import type { ViewEvent } from "../../calls/view_event.ts";
import { ViewEventKind } from "../../calls/view_event_kind.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import { askSettlement } from "./ask_settlement.ts";
import type { CallsNode } from "./calls_node.ts";
import { chooseServer } from "./choose_server.ts";
import { createWakeTimer } from "./create_wake_timer.ts";
import type { Exchange } from "./exchange.ts";
import { handOver } from "./hand_over.ts";
import { observeCall } from "./observe_call.ts";
import { refuseCallerCall } from "./refuse_caller_call.ts";
import { updateView } from "./update_view.ts";
import { writeAnswer } from "./write_answer.ts";
import { writeAnswerHead } from "./write_answer_head.ts";

/** Runs one call from a caller, from the choice of a backend server to the answer. */
export function runCallerCall(
  node: CallsNode,
  call: CallerCall,
  request: {
    readonly body: Uint8Array | undefined;
    /** In milliseconds since the Unix epoch. */
    readonly receivedAt: number;
    readonly response: ServerResponse;
  },
): void {
  const { response, receivedAt } = request;
  const { clock, timers } = node.options.environment;
  const callIdentifier = node.createCallIdentifier();
  const end = {
    service: call.service.name,
    priority: call.route.priority,
    receivedAt,
  };
  let state = createCallState({
    idempotent: call.idempotent,
    repeatsPossible: call.key !== undefined && call.key.callerAttempt !== 1,
    deadline: call.deadline,
  });
  let current: Try | undefined;
  let answer: StoredAnswer | undefined;

  const wakeTimer = createWakeTimer(
    timers,
    () => apply({ kind: CallEventKind.Woke }),
  );
  const apply = (event: CallEvent) => {
    const step = stepCall(state, event, {
      now: clock.now(),
      retryAllowed: isRetryAllowed(node.budget),
    });
    state = step.state;
    step.effects.forEach(carryOut);
    wakeTimer.setInstant(state.wakeAt);
  };
  const carryOut = (effect: CallEffect): void =>
    match(effect)
      .with({ kind: CallEffectKind.Try }, tryOnce)
      .with({ kind: CallEffectKind.SendAnswer }, () => sendAnswer(answer!))
      .with(
        { kind: CallEffectKind.Refuse },
        ({ refusal }) => refuseCallerCall(node, response, { ...end, refusal }),
      )
      .with({ kind: CallEffectKind.CancelTry }, () => {
        const cancelled = current;
        endTry();
        cancelled?.exchange?.cancel();
      })
      .with({ kind: CallEffectKind.Abandon }, () => {
        node.counters.abandoned += 1;
        observeCall(node, { ...end, result: "abandoned" });
      })
      .with(
        { kind: CallEffectKind.AvoidNode },
        ({ processGone }) =>
          updateLast({ kind: ViewEventKind.ContactFailed, processGone }),
      )
      .with(
        { kind: CallEffectKind.StopAvoiding },
        () => updateLast({ kind: ViewEventKind.ContactMade }),
      )
      .with({ kind: CallEffectKind.RenewConnections }, () => {
        if (lastServer !== undefined) {
          node.pools.renew(lastServer.nodeAddress);
        }
      })
      .with(
        { kind: CallEffectKind.Settle },
        ({ deadline }) => void settle(deadline),
      )
      .with(
        { kind: CallEffectKind.SendStoredAnswer },
        (stored) => sendAnswer(stored.answer),
      )
      .with(
        { kind: CallEffectKind.BeginStream },
        () => writeAnswerHead(response, answer!.head, { added: getAdded() }),
      )
      .with({ kind: CallEffectKind.EndStream }, () => {
        response.end();
        countAnswered();
      })
      .with({ kind: CallEffectKind.BreakCaller }, () => {
        response.destroy();
        node.counters.refusedUnknown += 1;
        observeCall(node, { ...end, result: RefusalReason.AnswerBroken });
      })
      .with({ kind: CallEffectKind.SpendRetry }, () => {
        node.budget = spendRetry(node.budget);
      })
      .exhaustive();
  const getAdded = () => node.draining ? ["connection", "close"] : [];
  const sendAnswer = (whole: StoredAnswer) => {
    writeAnswer(response, whole, { method: call.method, added: getAdded() });
    countAnswered();
  };
  const countAnswered = () => {
    node.counters.answeredWhole += 1;
    observeCall(node, { ...end, result: "answered" });
  };

  let lastServer: BackendServer | undefined;
  const updateLast = (event: ViewEvent) => {
    if (lastServer !== undefined) {
      updateView(node, lastServer, event);
    }
  };
  const hasFailures = () =>
    lastServer !== undefined &&
    (node.views.get(lastServer.name)?.failures ?? 0) > 0;
  const endTry = () => {
    const counted = current !== undefined && !current.loadReported;
    current = undefined;
    if (counted) {
      updateLast({ kind: ViewEventKind.CallEnded });
    }
  };
  const tryOnce = (
    { attempt, excluded }: {
      readonly attempt: number;
      readonly excluded: readonly string[];
    },
  ) => {
    const server = chooseServer(node, call.snapshot, {
      service: call.service,
      key: call.key,
      excluded,
    });
    if (server === undefined) {
      apply({
        kind: CallEventKind.NoneChosen,
        refusal: createNoneRefusal(clock.now()),
      });
      return;
    }
    const thisTry: Try = { exchange: undefined, loadReported: false };
    current = thisTry;
    lastServer = server;
    updateLast({ kind: ViewEventKind.CallSent });
    const remote = server.name !== node.options.settings.backendServer?.name;
    apply({
      kind: CallEventKind.Sent,
      backendServer: server.name,
      remote,
      awaitsConnection: remote,
    });
    const exchange = handOver(node, createForwarded(server, attempt), {
      server,
      receiver: createReceiver(() => current === thisTry),
    });
    thisTry.exchange = exchange;
  };
  const createForwarded = (
    server: BackendServer,
    attempt: number,
  ): ForwardedCall => ({
    callIdentifier,
    attempt,
    backendServer: server.name,
    method: call.method,
    path: call.path,
    headers: call.headers,
    body: request.body,
    deadline: call.deadline,
    priority: call.route.priority,
    idempotent: call.idempotent,
    key: call.key,
  });
  const createReceiver = (isCurrent: () => boolean): AnswerReceiver => {
    const finish = (event: CallEvent) => {
      if (isCurrent()) {
        endTry();
        apply(event);
      }
    };
    return {
      onSign: () => {
        if (isCurrent()) {
          apply({ kind: CallEventKind.Heard });
        }
      },
      onLoad: (freeSlots) => {
        if (isCurrent()) {
          if (hasFailures()) {
            updateLast({ kind: ViewEventKind.ContactMade });
          }
          updateLast({ kind: ViewEventKind.LoadReported, freeSlots });
          current!.loadReported = true;
        }
      },
      onWhole: (whole) => {
        if (isCurrent()) {
          answer = whole;
          finish({ kind: CallEventKind.AnswerWhole });
        }
      },
      onStream: (head) => {
        if (isCurrent()) {
          answer = { head, body: new Uint8Array(0) };
          current!.loadReported = false;
          apply({ kind: CallEventKind.AnswerStreams });
        }
      },
      onPiece: (piece) => isCurrent() ? response.write(piece) : true,
      onStreamEnd: () => finish({ kind: CallEventKind.StreamEnded }),
      onRefused: (refusal) => {
        const { reason } = refusal.refusal;
        // A young ledger refuses keys alone.
        const keyOnly = call.key !== undefined &&
          reason === RefusalReason.NodeStarting;
        if (isCurrent() && !keyOnly && isWorkRefused(reason)) {
          updateLast({ kind: ViewEventKind.WorkRefused });
        }
        finish({ kind: CallEventKind.Refused, refusal });
      },
      onNotSent: (processGone) =>
        finish({ kind: CallEventKind.NotSent, processGone }),
      onLost: () => finish({ kind: CallEventKind.ContactLost }),
    };
  };
  const settle = async (deadline: number) => {
    const settlement = await askSettlement(node, {
      attempt: { callIdentifier, attempt: state.attempt },
      server: lastServer!,
      callDeadline: call.deadline,
      deadline,
    });
    apply(
      settlement === undefined
        ? { kind: CallEventKind.SettlementFailed }
        : { kind: CallEventKind.Settled, settlement },
    );
  };

  node.budget = depositCall(node.budget, call.snapshot.retryBudgetPercent);
  response.on("drain", () => current?.exchange?.resume());
  const stop = () => apply({ kind: CallEventKind.Stopped });
  node.callerCalls.add(stop);
  response.on("close", () => {
    node.callerCalls.delete(stop);
    if (!response.writableFinished && state.phase !== CallPhase.Ended) {
      apply({ kind: CallEventKind.CallerLeft });
    }
    node.onEnded();
  });
  apply({ kind: CallEventKind.Started });
}

/** One try under way. */
interface Try {
  /** Undefined until the hand-over has returned. */
  exchange: Exchange | undefined;
  /** Whether the last report of free slots already counts this call as ended. */
  loadReported: boolean;
}

function createNoneRefusal(now: number): Refusal {
  return createRefusal(RefusalReason.NoBackendServer, Outcome.NotRun, { now });
}
