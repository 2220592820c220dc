import type { BackendServerView } from "../../calls/backend_server_view.ts";
import { createBackendServerView } from "../../calls/create_backend_server_view.ts";
import type { PeerRecord } from "../../peers/peer_record.ts";
import { ViewEventKind } from "../../calls/view_event_kind.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { CallsNode } from "./calls_node.ts";
import { updateView } from "./update_view.ts";

/** Returns the view of a backend server, with its peer record taken in. */
export function getView(
  node: CallsNode,
  server: BackendServer,
): BackendServerView {
  const view = node.views.get(server.name);
  const record = node.options.getPeers().get(server.vm);
  if (record !== undefined && !isSameRecord(record, view?.record)) {
    return updateView(node, server, {
      kind: ViewEventKind.RecordReceived,
      record,
    });
  }
  return view ?? createBackendServerView(server.slots);
}

/** The list of VMs can change the state that a record shows, under the same sequence. */
function isSameRecord(
  record: PeerRecord,
  known: PeerRecord | undefined,
): boolean {
  return record === known ||
    (record.sequence === known?.sequence &&
      record.incarnation === known.incarnation &&
      record.state === known.state);
}
