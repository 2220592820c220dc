import type { BackendServerView } from "../../calls/backend_server_view.ts";
import { createBackendServerView } from "../../calls/create_backend_server_view.ts";
import type { PeerRecord } from "../../peers/peer_record.ts";
import { ViewEventKind } from "../../calls/view_event_kind.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { CallsNode } from "./calls_node.ts";
import { updateBackendServerView } from "./update_backend_server_view.ts";

/** Returns the view of a backend server, updated with its latest peer record. */
export function getBackendServerView(
  node: CallsNode,
  server: BackendServer,
): BackendServerView {
  const view = node.views.get(server.name);
  const record = node.options.getPeers().get(server.vm);
  if (record !== undefined && !isSameRecord(record, view?.record)) {
    return updateBackendServerView(node, server, {
      kind: ViewEventKind.RecordReceived,
      record,
    });
  }
  return view ?? createBackendServerView(server.slots);
}

/** Compares the state too: the VM list can change the state of a record without changing its sequence. */
function isSameRecord(
  record: PeerRecord,
  current: PeerRecord | undefined,
): boolean {
  return record === current ||
    (record.sequence === current?.sequence &&
      record.incarnation === current.incarnation &&
      record.state === current.state);
}
