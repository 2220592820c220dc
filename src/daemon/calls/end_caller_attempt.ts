import { ViewEventKind } from "../../calls/view_event_kind.ts";
import type { CallerRun } from "./caller_run.ts";
import { updateAttemptServerView } from "./update_attempt_server_view.ts";

/** Ends the attempt in progress, if there is one; its later events are ignored. */
export function endCallerAttempt(run: CallerRun): void {
  const ended = run.currentAttempt;
  run.currentAttempt = undefined;
  if (ended !== undefined && !ended.loadReported) {
    updateAttemptServerView(run, { kind: ViewEventKind.CallEnded });
  }
}
