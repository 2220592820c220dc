import { match } from "ts-pattern";
import type { CallEffect } from "../../calls/call_effect.ts";
import { CallEffectKind } from "../../calls/call_effect_kind.ts";
import { CallEventKind } from "../../calls/call_event_kind.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { spendRetry } from "../../calls/spend_retry.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import { ViewEventKind } from "../../calls/view_event_kind.ts";
import { queryCallOutcome } from "./query_call_outcome.ts";
import type { CallerRun } from "./caller_run.ts";
import { endCallerAttempt } from "./end_caller_attempt.ts";
import { observeCall } from "./observe_call.ts";
import { refuseCallerCall } from "./refuse_caller_call.ts";
import { startCallerAttempt } from "./start_caller_attempt.ts";
import { updateAttemptServerView } from "./update_attempt_server_view.ts";
import { writeAnswer } from "./write_answer.ts";
import { writeAnswerHead } from "./write_answer_head.ts";

/** Executes one effect of a caller's call. Frequent effects are matched first. */
export function executeCallEffect(run: CallerRun, effect: CallEffect): void {
  match(effect)
    .with(
      { kind: CallEffectKind.StartAttempt },
      (attempt) => startCallerAttempt(run, attempt),
    )
    .with({ kind: CallEffectKind.SendAnswer }, () => {
      sendAnswer(run, run.answer!);
    })
    .with({ kind: CallEffectKind.Refuse }, ({ refusal }) => {
      refuseCallerCall(run.node, run.response, {
        ...getEndedCall(run),
        refusal,
      });
    })
    .with({ kind: CallEffectKind.CancelAttempt }, () => {
      const attempt = run.currentAttempt;
      endCallerAttempt(run);
      attempt?.exchange?.cancel();
    })
    .with({ kind: CallEffectKind.Abandon }, () => {
      run.node.counters.abandoned += 1;
      observeCall(run.node, { ...getEndedCall(run), result: "abandoned" });
    })
    .with({ kind: CallEffectKind.AvoidNode }, ({ processGone }) => {
      updateAttemptServerView(run, {
        kind: ViewEventKind.ContactFailed,
        processGone,
      });
      if (processGone) {
        recordRefusedContact(run);
      }
    })
    .with({ kind: CallEffectKind.StopAvoiding }, () => {
      updateAttemptServerView(run, { kind: ViewEventKind.ContactMade });
    })
    .with({ kind: CallEffectKind.RenewConnections }, () => {
      run.node.pools.renew(run.server!.nodeAddress);
    })
    .with({ kind: CallEffectKind.QueryOutcome }, ({ deadline }) => {
      void queryOutcome(run, deadline);
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
        ...getEndedCall(run),
        result: RefusalReason.AnswerBroken,
      });
    })
    .with({ kind: CallEffectKind.SpendRetry }, () => {
      run.node.budget = spendRetry(run.node.budget);
    })
    .exhaustive();
}

function recordRefusedContact(
  { node, server, attemptStartedAt }: CallerRun,
): void {
  node.ledger.recordRefusedContact(server!, {
    begunAt: attemptStartedAt,
    refusedAt: node.options.environment.clock.now(),
  });
}

function getEndedCall({ call, receivedAt }: CallerRun) {
  return {
    service: call.service.name,
    priority: call.route.priority,
    receivedAt,
  };
}

/** Returns `connection: close` while the node drains, so that its callers open new connections. */
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
  observeCall(run.node, { ...getEndedCall(run), result: "answered" });
}

async function queryOutcome(run: CallerRun, deadline: number): Promise<void> {
  const settlement = await queryCallOutcome(run.node, {
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
