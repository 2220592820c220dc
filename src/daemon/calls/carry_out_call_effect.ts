import { match } from "ts-pattern";
import type { CallEffect } from "../../calls/call_effect.ts";
import { CallEffectKind } from "../../calls/call_effect_kind.ts";
import { CallEventKind } from "../../calls/call_event_kind.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { spendRetry } from "../../calls/spend_retry.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import { ViewEventKind } from "../../calls/view_event_kind.ts";
import { askSettlement } from "./ask_settlement.ts";
import type { CallerRun } from "./caller_run.ts";
import { endCallerTry } from "./end_caller_try.ts";
import { observeCall } from "./observe_call.ts";
import { refuseCallerCall } from "./refuse_caller_call.ts";
import { startCallerTry } from "./start_caller_try.ts";
import { updateTriedView } from "./update_tried_view.ts";
import { writeAnswer } from "./write_answer.ts";
import { writeAnswerHead } from "./write_answer_head.ts";

/** Carries out one effect of a caller's call; the frequent ones stand first. */
export function carryOutCallEffect(run: CallerRun, effect: CallEffect): void {
  match(effect)
    .with(
      { kind: CallEffectKind.StartAttempt },
      (next) => startCallerTry(run, next),
    )
    .with({ kind: CallEffectKind.SendAnswer }, () => {
      sendAnswer(run, run.answer!);
    })
    .with({ kind: CallEffectKind.Refuse }, ({ refusal }) => {
      refuseCallerCall(run.node, run.response, { ...getEnd(run), refusal });
    })
    .with({ kind: CallEffectKind.CancelAttempt }, () => {
      const cancelled = run.currentTry;
      endCallerTry(run);
      cancelled?.exchange?.cancel();
    })
    .with({ kind: CallEffectKind.Abandon }, () => {
      run.node.counters.abandoned += 1;
      observeCall(run.node, { ...getEnd(run), result: "abandoned" });
    })
    .with({ kind: CallEffectKind.AvoidNode }, ({ processGone }) => {
      updateTriedView(run, { kind: ViewEventKind.ContactFailed, processGone });
      if (processGone) {
        noteRefusedContact(run);
      }
    })
    .with({ kind: CallEffectKind.StopAvoiding }, () => {
      updateTriedView(run, { kind: ViewEventKind.ContactMade });
    })
    .with({ kind: CallEffectKind.RenewConnections }, () => {
      run.node.pools.renew(run.server!.nodeAddress);
    })
    .with({ kind: CallEffectKind.QueryOutcome }, ({ deadline }) => {
      void settle(run, deadline);
    })
    .with({ kind: CallEffectKind.SendStoredAnswer }, ({ answer }) => {
      sendAnswer(run, answer);
    })
    .with({ kind: CallEffectKind.BeginStream }, () => {
      const added = getAddedHeaders(run);
      writeAnswerHead(run.response, run.answer!.head, { added });
    })
    .with({ kind: CallEffectKind.EndStream }, () => {
      run.response.end();
      countAnswered(run);
    })
    .with({ kind: CallEffectKind.AbortResponse }, () => {
      run.response.destroy();
      run.node.counters.refusedUnknown += 1;
      observeCall(run.node, {
        ...getEnd(run),
        result: RefusalReason.AnswerBroken,
      });
    })
    .with({ kind: CallEffectKind.SpendRetry }, () => {
      run.node.budget = spendRetry(run.node.budget);
    })
    .exhaustive();
}

function noteRefusedContact({ node, server, triedAt }: CallerRun): void {
  node.ledger.noteRefusedContact(server!, {
    begunAt: triedAt,
    refusedAt: node.options.environment.clock.now(),
  });
}

function getEnd({ call, receivedAt }: CallerRun) {
  return {
    service: call.service.name,
    priority: call.route.priority,
    receivedAt,
  };
}

/** A node that stops asks its callers to come back over another connection. */
function getAddedHeaders({ node }: CallerRun): readonly string[] {
  return node.draining ? ["connection", "close"] : [];
}

function sendAnswer(run: CallerRun, answer: StoredAnswer): void {
  writeAnswer(run.response, answer, {
    method: run.call.method,
    added: getAddedHeaders(run),
  });
  countAnswered(run);
}

function countAnswered(run: CallerRun): void {
  run.node.counters.answeredWhole += 1;
  observeCall(run.node, { ...getEnd(run), result: "answered" });
}

async function settle(run: CallerRun, deadline: number): Promise<void> {
  const settlement = await askSettlement(run.node, {
    attempt: {
      callIdentifier: run.callIdentifier,
      attempt: run.state.attempt,
    },
    server: run.server!,
    callDeadline: run.call.deadline,
    deadline,
  });
  run.apply(
    settlement === undefined
      ? { kind: CallEventKind.OutcomeQueryFailed }
      : { kind: CallEventKind.SettlementReceived, settlement },
  );
}
