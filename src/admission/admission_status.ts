import type { BackendServerState } from "../health/backend_server_state.ts";

/** The state and load of the local backend server, as shown to operators and other nodes. */
export interface AdmissionStatus {
  readonly backendServerState: BackendServerState;
  /** The effective concurrency limit. */
  readonly limit: number;
  /** The number of occupied slots, including lingering ones. */
  readonly running: number;
  readonly queued: number;
  /** The number of calls that would be admitted now without waiting. */
  readonly freeSlots: number;
}
