import type { NodeSettings } from "../daemon/node_settings.ts";
import type { BackendServerProber } from "../health/backend_server_prober.ts";
import type { NodeEnvironment } from "../runtime/node_environment.ts";
import type { AdmissionPolicy } from "./admission_policy.ts";

/** The options of `createAdmissionRuntime`. */
export interface AdmissionRuntimeOptions {
  readonly settings: NodeSettings;
  readonly environment: NodeEnvironment;
  /** Undefined on a VM without a backend server. */
  readonly prober: BackendServerProber | undefined;
  /** Defaults to the policy that `createAdmissionPolicy` derives from the settings. */
  readonly policy?: AdmissionPolicy;
}
