import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";

/** Begins a cold start: the limit falls to the cold slots and is earned back by answered calls. */
export function enterColdStart(
  state: AdmissionState,
  now: number,
): AdmissionState {
  return {
    ...state,
    backendServerState: BackendServerState.Cold,
    limit: {
      current: state.backendServer?.coldSlots ?? 1,
      changedAt: now,
      answered: 0,
      answeredWhenFull: 0,
      shedInARow: 0,
    },
    contact: { ...state.contact, downSince: 0 },
  };
}
