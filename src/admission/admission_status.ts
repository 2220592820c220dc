import type { BackendServerState } from "../health/backend_server_state.ts";

/** What operators and other nodes see of the local backend server. */
export interface AdmissionStatus {
  readonly backendServerState: BackendServerState;
  readonly limit: number;
  readonly running: number;
  readonly queued: number;
  /** Calls that would be admitted now without waiting. */
  readonly freeSlots: number;
}
