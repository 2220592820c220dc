import type { BackendServer } from "../configuration/backend_server.ts";
import type { BackendServerView } from "./backend_server_view.ts";

/** A backend server that may receive new calls, with the node's view of it. */
export interface ChoiceCandidate {
  readonly server: BackendServer;
  readonly view: BackendServerView;
}
