import type { Snapshot } from "../configuration/snapshot.ts";
import { ZoneState } from "../configuration/zone_state.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { enterColdStart } from "./enter_cold_start.ts";
import type { LocalBackendServer } from "./local_backend_server.ts";

/** Connections reserved for the probes of the health and load endpoints. */
const reservedProbeConnections = 2;

/** Applies the local backend server's entry in a new snapshot. */
export function handleSnapshot(
  state: AdmissionState,
  snapshot: Snapshot,
  context: AdmissionContext,
): AdmissionState {
  const backendServer = getLocalBackendServer(state, snapshot);
  const next = { ...state, version: snapshot.version, backendServer };
  if (backendServer === undefined) return next;
  const isNew = state.backendServer === undefined;
  const isReturning = context.policy.coldStartOnReturn &&
    isOutOfService(state.backendServer) &&
    !isOutOfService(backendServer);
  if (!isNew && !isReturning) return next;
  // All backend servers of the zone return at once, so the load on each of them
  // cannot be predicted.
  const isServing = state.backendServerState === BackendServerState.Cold ||
    state.backendServerState === BackendServerState.Ready;
  if (isServing) return enterColdStart(next, context);
  return {
    ...next,
    limit: { ...next.limit, current: backendServer.coldSlots },
    // The next probe reports the calls that the backend server is already running.
    probing: {
      ...next.probing,
      nextAt: isNew && next.probing.sentAt > 0
        ? context.now
        : next.probing.nextAt,
    },
  };
}

function isOutOfService(
  backendServer: LocalBackendServer | undefined,
): boolean {
  return backendServer !== undefined &&
    (backendServer.leaving || backendServer.zoneState === ZoneState.TakenOut);
}

function getLocalBackendServer(
  state: AdmissionState,
  snapshot: Snapshot,
): LocalBackendServer | undefined {
  const server = state.backendServerName === undefined
    ? undefined
    : snapshot.backendServers.get(state.backendServerName);
  if (server === undefined) return undefined;
  const isTakenOut = [server.zone, state.zone].some((zone) =>
    snapshot.zones.get(zone)?.state === ZoneState.TakenOut
  );
  const slots = Math.max(
    1,
    Math.min(server.slots, server.connections - reservedProbeConnections),
  );
  return {
    zone: server.zone,
    zoneState: isTakenOut ? ZoneState.TakenOut : ZoneState.InService,
    leaving: server.leaving,
    slots,
    coldSlots: Math.max(1, Math.min(server.coldSlots, slots)),
  };
}
