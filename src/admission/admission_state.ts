import type { Version } from "../configuration/version.ts";
import type { BackendServerState } from "../health/backend_server_state.ts";
import type { ReachabilityState } from "./reachability_state.ts";
import type { LimitState } from "./limit_state.ts";
import type { LingeringSlot } from "./lingering_slot.ts";
import type { LocalBackendServer } from "./local_backend_server.ts";
import type { ProbingState } from "./probing_state.ts";
import type { QueuedCall } from "./queued_call.ts";
import type { RunningCall } from "./running_call.ts";
import type { ServiceTime } from "./service_time.ts";

/** The state of the admission between two steps. */
export interface AdmissionState {
  /** The backend server's name in the register; undefined on a VM without a backend server. */
  readonly backendServerName: string | undefined;
  /** The zone in the node's settings. */
  readonly zone: string;
  /** The version of the latest snapshot; undefined before the first. */
  readonly version: Version | undefined;
  /** Undefined before the first snapshot, and while the register does not list the backend server. */
  readonly backendServer: LocalBackendServer | undefined;
  readonly backendServerState: BackendServerState;
  readonly nodeDraining: boolean;
  readonly limit: LimitState;
  readonly running: readonly RunningCall[];
  readonly lingering: readonly LingeringSlot[];
  /** In the order of dispatch. */
  readonly queue: readonly QueuedCall[];
  /** The sequence number of the next call that is queued. */
  readonly nextSequence: number;
  readonly serviceTime: ServiceTime;
  readonly probing: ProbingState;
  readonly reachability: ReachabilityState;
  /**
   * The latest retry instant given to a call refused for lack of capacity,
   * before jitter, in milliseconds since the Unix epoch.
   */
  readonly retriesScheduledUntil: number;
}
