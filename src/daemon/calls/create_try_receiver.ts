import type { CallEvent } from "../../calls/call_event.ts";
import { CallEventKind } from "../../calls/call_event_kind.ts";
import { isWorkRefused } from "../../calls/is_work_refused.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { ViewEventKind } from "../../calls/view_event_kind.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import type { CallerRun } from "./caller_run.ts";
import type { CallerTry } from "./caller_try.ts";
import { endCallerTry } from "./end_caller_try.ts";
import { updateTriedView } from "./update_tried_view.ts";

const emptyBody = new Uint8Array(0);

/** Creates the receiver of one try; what comes after the try has ended is dropped. */
export function createTryReceiver(
  run: CallerRun,
  own: CallerTry,
): AnswerReceiver {
  const isCurrent = () => run.currentTry === own;
  const finish = (event: CallEvent) => {
    if (isCurrent()) {
      endCallerTry(run);
      run.apply(event);
    }
  };
  return {
    onSign: () => {
      if (isCurrent()) {
        run.apply({ kind: CallEventKind.ActivityObserved });
      }
    },
    onLoad: (freeSlots) => {
      if (isCurrent()) {
        takeLoad(run, freeSlots);
        own.loadReported = true;
      }
    },
    onWhole: (answer) => {
      if (isCurrent()) {
        noteAcceptance(run);
        run.answer = answer;
        finish({ kind: CallEventKind.AnswerCompleted });
      }
    },
    onStream: (head) => {
      if (isCurrent()) {
        run.answer = { head, body: emptyBody };
        own.loadReported = false;
        run.apply({ kind: CallEventKind.StreamStarted });
      }
    },
    onPiece: (piece) => isCurrent() ? run.response.write(piece) : true,
    onStreamEnd: () => finish({ kind: CallEventKind.StreamEnded }),
    onRefused: (refusal) => {
      if (isCurrent() && refusesAllWork(run, refusal.refusal.reason)) {
        updateTriedView(run, { kind: ViewEventKind.WorkRefused });
      }
      finish({ kind: CallEventKind.Refused, refusal });
    },
    onNotSent: (processGone) =>
      finish({ kind: CallEventKind.NotSent, processGone }),
    onLost: () => finish({ kind: CallEventKind.ContactLost }),
  };
}

function takeLoad(run: CallerRun, freeSlots: number): void {
  const view = run.node.views.get(run.server?.name ?? "");
  if (view !== undefined && view.failures > 0) {
    updateTriedView(run, { kind: ViewEventKind.ContactMade });
  }
  updateTriedView(run, { kind: ViewEventKind.LoadReported, freeSlots });
}

function noteAcceptance(run: CallerRun): void {
  const view = run.node.views.get(run.server?.name ?? "");
  if (view !== undefined && view.workRefusals > 0) {
    updateTriedView(run, { kind: ViewEventKind.WorkAccepted });
  }
}

/** A young ledger refuses keys alone. */
function refusesAllWork(run: CallerRun, reason: RefusalReason): boolean {
  return isWorkRefused(reason) &&
    !(run.call.key !== undefined && reason === RefusalReason.NodeStarting);
}
