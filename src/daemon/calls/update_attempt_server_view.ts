import type { ViewEvent } from "../../calls/view_event.ts";
import type { CallerRun } from "./caller_run.ts";
import { updateBackendServerView } from "./update_backend_server_view.ts";

/** Applies an event to the view of the backend server of the last attempt. */
export function updateAttemptServerView(
  run: CallerRun,
  event: ViewEvent,
): void {
  if (run.server !== undefined) {
    updateBackendServerView(run.node, run.server, event);
  }
}
