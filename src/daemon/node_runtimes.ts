import type { AdmissionRuntime } from "../admission/admission_runtime.ts";
import type { CallsRuntime } from "../calls/calls_runtime.ts";
import type { DistributionRuntime } from "../distribution/distribution_runtime.ts";
import type { LeavingWatch } from "./leaving_watch.ts";

/** The runtimes of one node. */
export interface NodeRuntimes {
  readonly admission: AdmissionRuntime;
  readonly calls: CallsRuntime;
  readonly distribution: DistributionRuntime;
  readonly leavingWatch: LeavingWatch;
  /** Closes the connections to the platform, the peers and the backend server's probe endpoints. */
  closeClients(): Promise<void>;
}
