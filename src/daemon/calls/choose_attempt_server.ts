import type { CallKey } from "../../calls/call_key.ts";
import { chooseBackendServer } from "../../calls/choose_backend_server.ts";
import { chooseKeyOwner } from "../../calls/choose_key_owner.ts";
import { getBackendServerRefusalReason } from "../../calls/get_backend_server_refusal_reason.ts";
import { getFreshRecord } from "../../calls/get_fresh_record.ts";
import { selectCandidates } from "../../calls/select_candidates.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { Service } from "../../configuration/service.ts";
import type { Snapshot } from "../../configuration/snapshot.ts";
import { BackendServerState } from "../../health/backend_server_state.ts";
import type { CallsNode } from "./calls_node.ts";
import { getBackendServerView } from "./get_backend_server_view.ts";

/** Chooses the backend server for one attempt; returns undefined if none may receive it. */
export function chooseAttemptServer(
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
  const goneVms = getGoneVms();
  const eligible = options.service.backendServers.filter((server) =>
    !goneVms.has(server.vm) && !isOwnServerUnavailable(node, server) &&
    getBackendServerRefusalReason(
        server,
        snapshot,
        getFreshRecord(getBackendServerView(node, server), now),
      ) === undefined
  );
  const selection = {
    now,
    excluded: options.excluded,
    getView: (server: BackendServer) => getBackendServerView(node, server),
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

/**
 * Returns true if `server` is the backend server beside this node and is down or
 * draining. The node's own admission status is more recent than any peer record.
 */
function isOwnServerUnavailable(
  node: CallsNode,
  server: BackendServer,
): boolean {
  if (server.name !== node.options.settings.backendServer?.name) {
    return false;
  }
  const state = node.options.admission.getStatus().backendServerState;
  return state === BackendServerState.Down ||
    state === BackendServerState.Draining;
}
