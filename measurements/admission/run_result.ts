import type { FakeBackendServerCounts } from "../../src/admission/testing/fake_backend_server_counts.ts";
import type { ClassResult } from "./class_result.ts";

/** What one run came to. */
export interface RunResult {
  readonly classes: Readonly<Record<string, ClassResult>>;
  readonly server: FakeBackendServerCounts;
  /** When the limit first stood at the registered slots after the last event, in milliseconds; infinite where it never did. */
  readonly fullLimitAfterMilliseconds: number;
}
