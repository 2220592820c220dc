import type { AdmissionPolicy } from "../../src/admission/admission_policy.ts";
import type { FakeBackendServer } from "../../src/admission/testing/fake_backend_server.ts";
import type { FakeBackendServerOptions } from "../../src/admission/testing/fake_backend_server_options.ts";
import type { AdmissionRuntime } from "../../src/admission/admission_runtime.ts";
import type { CallerClass } from "./caller_class.ts";

/** Options of one admission run in virtual time. Instants are relative to the start of the run. */
export interface RunOptions {
  readonly seed: number;
  readonly runMilliseconds: number;
  readonly classes: readonly CallerClass[];
  /** Overrides of the default admission policy. */
  readonly policy: Partial<AdmissionPolicy>;
  /** Overrides of the default options of the fake backend server. */
  readonly server: Partial<FakeBackendServerOptions>;
  /** Actions on the admission runtime or the backend server at given instants. */
  readonly events: readonly {
    readonly atMilliseconds: number;
    readonly run: (
      context: {
        readonly runtime: AdmissionRuntime;
        readonly server: FakeBackendServer;
      },
    ) => void;
  }[];
  /** Calls that arrive at one instant, assigned to the classes in rotation. */
  readonly burst?: { readonly atMilliseconds: number; readonly calls: number };
  /** Calls that arrive before this instant are not counted, in milliseconds; 0 by default. */
  readonly countFromMilliseconds?: number;
}
