import { ViewEventKind } from "../../calls/view_event_kind.ts";
import type { CallerRun } from "./caller_run.ts";
import { updateTriedView } from "./update_tried_view.ts";

/** Ends the try under way, if there is one: what comes of it later counts no more. */
export function endCallerTry(run: CallerRun): void {
  const ended = run.currentTry;
  run.currentTry = undefined;
  if (ended !== undefined && !ended.loadReported) {
    updateTriedView(run, { kind: ViewEventKind.CallEnded });
  }
}
