import type { BackendServerView } from "../../calls/backend_server_view.ts";
import { createBackendServerView } from "../../calls/create_backend_server_view.ts";
import { stepBackendServerView } from "../../calls/step_backend_server_view.ts";
import type { ViewEvent } from "../../calls/view_event.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { CallsNode } from "./calls_node.ts";

/** Applies an event to the view of a backend server and returns the new view. */
export function updateBackendServerView(
  node: CallsNode,
  server: BackendServer,
  event: ViewEvent,
): BackendServerView {
  const { clock, random } = node.options.environment;
  const view = stepBackendServerView(
    node.views.get(server.name) ?? createBackendServerView(server.slots),
    event,
    { now: clock.now(), random: random.next() },
  );
  node.views.set(server.name, view);
  return view;
}
