import type { AdmissionRuntime } from "../../src/admission/admission_runtime.ts";
import type { TestEnvironment } from "../../src/admission/testing/test_environment.ts";
import type { BackendServer } from "../../src/configuration/backend_server.ts";
import type { BackendServerProbe } from "../../src/health/backend_server_probe.ts";
import type { CapacityState } from "../../stand_ins/backend_server/capacity_state.ts";
import type { SimulatedCall } from "./simulated_call.ts";

/** One node beside one backend server, in virtual time. */
export interface AdmissionSimulation {
  readonly environment: TestEnvironment;
  /** The backend server, by the rules of its stand-in. */
  capacity: CapacityState;
  /** The most calls beyond what it could bear that any one instant saw. */
  peakExcess: number;
  node: AdmissionRuntime | undefined;
  /** The backend server as the register describes it. */
  register: Partial<BackendServer>;
  /** What the health endpoint says; undefined for the truth. */
  reportedState: BackendServerProbe["reportedState"] | undefined;
  readonly calls: SimulatedCall[];
  /** How long every call runs. */
  workMilliseconds: number;
}
