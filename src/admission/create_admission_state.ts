import type { NodeSettings } from "../daemon/node_settings.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import { createLimitState } from "./create_limit_state.ts";

/** Creates the initial admission state, before any event. */
export function createAdmissionState(settings: NodeSettings): AdmissionState {
  return {
    backendServerName: settings.backendServer?.name,
    zone: settings.zone,
    version: undefined,
    backendServer: undefined,
    backendServerState: BackendServerState.Unknown,
    nodeDraining: false,
    limit: createLimitState(1, 0),
    running: [],
    lingering: [],
    queue: [],
    nextSequence: 0,
    serviceTime: { samples: 0, recentMilliseconds: 0, baselineMilliseconds: 0 },
    probing: {
      isInFlight: false,
      sentAt: 0,
      nextAt: Number.POSITIVE_INFINITY,
      minimumRunning: 0,
      consecutiveFailures: 0,
      failingSince: 0,
      reportedState: undefined,
    },
    reachability: {
      lastAnsweredDispatchAt: 0,
      downSince: 0,
      trialAt: 0,
      backoffMilliseconds: 0,
    },
    retriesScheduledUntil: 0,
  };
}
