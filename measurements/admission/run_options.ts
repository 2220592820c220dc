import type { AdmissionPolicy } from "../../src/admission/admission_policy.ts";
import type { FakeBackendServer } from "../../src/admission/testing/fake_backend_server.ts";
import type { FakeBackendServerOptions } from "../../src/admission/testing/fake_backend_server_options.ts";
import type { AdmissionRuntime } from "../../src/admission/admission_runtime.ts";
import type { CallerClass } from "./caller_class.ts";

/** One run of the admission in virtual time. Instants count from the start of the run. */
export interface RunOptions {
  readonly seed: number;
  readonly runMilliseconds: number;
  readonly classes: readonly CallerClass[];
  readonly policy: Partial<AdmissionPolicy>;
  readonly server: Partial<FakeBackendServerOptions>;
  /** What happens during the run. */
  readonly events: readonly {
    readonly atMilliseconds: number;
    readonly run: (
      context: {
        readonly runtime: AdmissionRuntime;
        readonly server: FakeBackendServer;
      },
    ) => void;
  }[];
  /** Calls that arrive at one instant, by the classes in turn. */
  readonly burst?: { readonly atMilliseconds: number; readonly calls: number };
  /** Only calls that arrive from here on are counted, in milliseconds. */
  readonly countFromMilliseconds?: number;
}
