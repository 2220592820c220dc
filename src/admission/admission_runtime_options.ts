import type { NodeSettings } from "../daemon/node_settings.ts";
import type { BackendServerProber } from "../health/backend_server_prober.ts";
import type { NodeEnvironment } from "../runtime/node_environment.ts";
import type { AdmissionPolicy } from "./admission_policy.ts";

/** What `createAdmissionRuntime` takes from outside. */
export interface AdmissionRuntimeOptions {
  readonly settings: NodeSettings;
  readonly environment: NodeEnvironment;
  /** Undefined on a VM without a backend server. */
  readonly prober: BackendServerProber | undefined;
  /** Left out, the policy that follows from the settings. */
  readonly policy?: AdmissionPolicy;
}
