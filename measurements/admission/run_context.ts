import type { AdmissionRuntime } from "../../src/admission/admission_runtime.ts";
import type { FakeBackendServer } from "../../src/admission/testing/fake_backend_server.ts";
import type { TestEnvironment } from "../../src/admission/testing/test_environment.ts";
import type { RandomSource } from "../../src/runtime/random_source.ts";
import type { ClassResult } from "./class_result.ts";

/** The objects that the simulated callers of one run share. */
export interface RunContext {
  readonly environment: TestEnvironment;
  readonly server: FakeBackendServer;
  readonly runtime: AdmissionRuntime;
  /** Random source for the arrivals of calls and for whether and when callers abandon them. */
  readonly random: RandomSource;
  /**
   * Adds `change` to the counters of a caller class for a call that arrived at
   * `arrivedAt`, in milliseconds since the Unix epoch by the environment's clock.
   */
  readonly count: (
    className: string,
    arrivedAt: number,
    change: Partial<ClassResult>,
  ) => void;
}
