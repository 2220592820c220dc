import type { AdmissionRuntime } from "../../src/admission/admission_runtime.ts";
import type { TestEnvironment } from "../../src/admission/testing/test_environment.ts";
import type { BackendServer } from "../../src/configuration/backend_server.ts";
import type { BackendServerProbe } from "../../src/health/backend_server_probe.ts";
import type { CapacityState } from "../../stand_ins/backend_server/capacity_state.ts";
import type { SimulatedCall } from "./simulated_call.ts";

/** A simulation of one node beside one backend server, in virtual time. */
export interface AdmissionSimulation {
  readonly environment: TestEnvironment;
  /** State of the backend server, which follows the rules of its stand-in. */
  capacity: CapacityState;
  /** The highest number of running calls above the capacity of the backend server. */
  peakExcess: number;
  node: AdmissionRuntime | undefined;
  /** The entry of the backend server in the register. */
  register: Partial<BackendServer>;
  /** The state that the health endpoint reports; undefined for the actual state. */
  reportedState: BackendServerProbe["reportedState"] | undefined;
  /** Every call sent so far. */
  readonly calls: SimulatedCall[];
  /** The service time of every call. */
  workMilliseconds: number;
}
