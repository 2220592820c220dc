import type { FakeBackendServerCounts } from "../../src/admission/testing/fake_backend_server_counts.ts";
import type { ClassResult } from "./class_result.ts";

/** The counters of one run. */
export interface RunResult {
  readonly classes: Readonly<Record<string, ClassResult>>;
  readonly server: FakeBackendServerCounts;
  /**
   * Time from the last event until the concurrency limit reached the registered
   * slots, in milliseconds; infinite if it never did.
   */
  readonly fullLimitAfterMilliseconds: number;
}
