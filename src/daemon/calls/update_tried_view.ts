import type { ViewEvent } from "../../calls/view_event.ts";
import type { CallerRun } from "./caller_run.ts";
import { updateView } from "./update_view.ts";

/** Feeds an event to the view of the backend server of the last try. */
export function updateTriedView(run: CallerRun, event: ViewEvent): void {
  if (run.server !== undefined) {
    updateView(run.node, run.server, event);
  }
}
