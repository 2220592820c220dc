import type { CallKey } from "../../calls/call_key.ts";
import { chooseBackendServer } from "../../calls/choose_backend_server.ts";
import { chooseKeyOwner } from "../../calls/choose_key_owner.ts";
import { getBackendServerObstacle } from "../../calls/get_backend_server_obstacle.ts";
import { getFreshRecord } from "../../calls/get_fresh_record.ts";
import { selectCandidates } from "../../calls/select_candidates.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { Service } from "../../configuration/service.ts";
import type { Snapshot } from "../../configuration/snapshot.ts";
import { BackendServerState } from "../../health/backend_server_state.ts";
import type { CallsNode } from "./calls_node.ts";
import { getView } from "./get_view.ts";

/** Chooses the backend server for one try; undefined where none may take it. */
export function chooseServer(
  node: CallsNode,
  snapshot: Snapshot,
  options: {
    readonly service: Service;
    readonly key: CallKey | undefined;
    readonly excluded: readonly string[];
  },
): BackendServer | undefined {
  const { environment, settings, getGoneVms } = node.options;
  const now = environment.clock.now();
  const gone = getGoneVms();
  const eligible = options.service.backendServers.filter((server) =>
    !gone.has(server.vm) && !isOwnUnfit(node, server) &&
    getBackendServerObstacle(
        server,
        snapshot,
        getFreshRecord(getView(node, server), now),
      ) === undefined
  );
  const selection = {
    now,
    excluded: options.excluded,
    getView: (server: BackendServer) => getView(node, server),
  };
  return options.key === undefined
    ? chooseBackendServer(selectCandidates(eligible, selection), {
      now,
      zone: settings.zone,
      random: environment.random,
      policy: node.choicePolicy,
    })
    : chooseKeyOwner(eligible, options.key.value, selection);
}

/** The node knows its own backend server better than any record. */
function isOwnUnfit(node: CallsNode, server: BackendServer): boolean {
  if (server.name !== node.options.settings.backendServer?.name) {
    return false;
  }
  const state = node.options.admission.getStatus().backendServerState;
  return state === BackendServerState.Down ||
    state === BackendServerState.Draining;
}
