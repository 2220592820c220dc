import type { CallEvent } from "../../calls/call_event.ts";
import { CallEventKind } from "../../calls/call_event_kind.ts";
import { isWorkRefused } from "../../calls/is_work_refused.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { ViewEventKind } from "../../calls/view_event_kind.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import type { CallerRun } from "./caller_run.ts";
import type { CallerAttempt } from "./caller_attempt.ts";
import { endCallerAttempt } from "./end_caller_attempt.ts";
import { updateAttemptServerView } from "./update_attempt_server_view.ts";

const emptyBody = new Uint8Array(0);

/** Creates the receiver of one attempt, which ignores whatever arrives after the attempt has ended. */
export function createAttemptReceiver(
  run: CallerRun,
  attempt: CallerAttempt,
): AnswerReceiver {
  const isCurrent = () => run.currentAttempt === attempt;
  const endAttempt = (event: CallEvent) => {
    if (isCurrent()) {
      endCallerAttempt(run);
      run.apply(event);
    }
  };
  return {
    onActivity: () => {
      if (isCurrent()) {
        run.apply({ kind: CallEventKind.ActivityObserved });
      }
    },
    onLoad: (freeSlots) => {
      if (isCurrent()) {
        recordLoad(run, freeSlots);
        attempt.loadReported = true;
      }
    },
    onCompleteAnswer: (answer) => {
      if (isCurrent()) {
        recordWorkAccepted(run);
        run.answer = answer;
        endAttempt({ kind: CallEventKind.AnswerCompleted });
      }
    },
    onStreamStart: (head) => {
      if (isCurrent()) {
        run.answer = { head, body: emptyBody };
        attempt.loadReported = false;
        run.apply({ kind: CallEventKind.StreamStarted });
      }
    },
    onChunk: (chunk) => isCurrent() ? run.response.write(chunk) : true,
    onStreamEnd: () => endAttempt({ kind: CallEventKind.StreamEnded }),
    onRefused: (refusal) => {
      if (isCurrent() && isAllWorkRefused(run, refusal.refusal.reason)) {
        updateAttemptServerView(run, { kind: ViewEventKind.WorkRefused });
      }
      endAttempt({ kind: CallEventKind.Refused, refusal });
    },
    onNotSent: (processGone) =>
      endAttempt({ kind: CallEventKind.NotSent, processGone }),
    onContactLost: () => endAttempt({ kind: CallEventKind.ContactLost }),
  };
}

function recordLoad(run: CallerRun, freeSlots: number): void {
  const view = run.node.views.get(run.server?.name ?? "");
  if (view !== undefined && view.failures > 0) {
    updateAttemptServerView(run, { kind: ViewEventKind.ContactMade });
  }
  updateAttemptServerView(run, { kind: ViewEventKind.LoadReported, freeSlots });
}

function recordWorkAccepted(run: CallerRun): void {
  const view = run.node.views.get(run.server?.name ?? "");
  if (view !== undefined && view.workRefusals > 0) {
    updateAttemptServerView(run, { kind: ViewEventKind.WorkAccepted });
  }
}

/** Returns whether the refusal applies to all calls. A ledger that has just started refuses only calls with a key. */
function isAllWorkRefused(run: CallerRun, reason: RefusalReason): boolean {
  return isWorkRefused(reason) &&
    !(run.call.key !== undefined && reason === RefusalReason.NodeStarting);
}
