import { RefusalReason } from "../calls/refusal_reason.ts";
import { ZoneState } from "../configuration/zone_state.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";

/** Returns why the backend server accepts no calls at all, or undefined if it accepts calls. */
export function getUnavailableReason(
  state: AdmissionState,
): RefusalReason | undefined {
  if (state.nodeDraining) return RefusalReason.NodeDraining;
  if (state.backendServerName === undefined) {
    return RefusalReason.BackendServerUnknown;
  }
  if (state.version === undefined) return RefusalReason.NodeStarting;
  if (state.backendServer === undefined) {
    return RefusalReason.BackendServerUnknown;
  }
  if (state.backendServer.zoneState === ZoneState.TakenOut) {
    return RefusalReason.ZoneTakenOut;
  }
  if (state.backendServer.leaving) return RefusalReason.BackendServerLeaving;
  if (state.backendServerState === BackendServerState.Draining) {
    return RefusalReason.BackendServerDraining;
  }
  return undefined;
}
