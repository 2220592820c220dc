import type { BackendServer } from "../configuration/backend_server.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import { ZoneState } from "../configuration/zone_state.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import { NodeState } from "../peers/node_state.ts";
import type { PeerRecord } from "../peers/peer_record.ts";
import { RefusalReason } from "./refusal_reason.ts";

const nodeRefusalReasons: Readonly<
  Record<NodeState, RefusalReason | undefined>
> = {
  [NodeState.Starting]: RefusalReason.NodeStarting,
  [NodeState.Serving]: undefined,
  [NodeState.ConfirmingView]: RefusalReason.ConfirmingView,
  [NodeState.Draining]: RefusalReason.NodeDraining,
};

/** Returns why a backend server may not receive new calls; undefined if it may. */
export function getBackendServerRefusalReason(
  server: BackendServer,
  snapshot: Snapshot,
  record: PeerRecord | undefined,
): RefusalReason | undefined {
  if (snapshot.zones.get(server.zone)?.state !== ZoneState.InService) {
    return RefusalReason.ZoneTakenOut;
  }
  if (server.leaving) {
    return RefusalReason.BackendServerLeaving;
  }
  if (record === undefined) {
    return undefined;
  }
  const nodeRefusalReason = nodeRefusalReasons[record.state];
  if (nodeRefusalReason !== undefined) {
    return nodeRefusalReason;
  }
  if (record.backendServerState === BackendServerState.Draining) {
    return RefusalReason.BackendServerDraining;
  }
  return record.backendServerState === BackendServerState.Down
    ? RefusalReason.BackendServerDown
    : undefined;
}
