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

/** All that the admission remembers. */
export interface AdmissionState {
  /** The name in the register; undefined on a VM without a backend server. */
  readonly backendServerName: string | undefined;
  /** The zone that the settings name. */
  readonly zone: string;
  /** The version of the last snapshot; undefined before the first. */
  readonly version: Version | undefined;
  /** Undefined before the first snapshot, and while the register does not name the backend server. */
  readonly backendServer: LocalBackendServer | undefined;
  readonly backendServerState: BackendServerState;
  readonly nodeDraining: boolean;
  readonly limit: LimitState;
  readonly running: readonly RunningCall[];
  readonly lingering: readonly LingeringSlot[];
  /** In the order of dispatch. */
  readonly queue: readonly QueuedCall[];
  readonly nextSequence: number;
  readonly serviceTime: ServiceTime;
  readonly probing: ProbingState;
  readonly reachability: ReachabilityState;
  /** The latest instant at which a refused caller was asked to return, in milliseconds since the Unix epoch. */
  readonly retriesScheduledUntil: number;
}
