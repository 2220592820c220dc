import type { BackendServerSettings } from "../backend_server/backend_server_settings.ts";
import type { DeploymentVm } from "./deployment_vm.ts";

/** What may differ between two runs of one plan. */
export interface DeploymentOptions {
  /** Replaces values under `timing` in the settings of every node. */
  readonly timing?: object;
  /** Replaces settings of every backend server stand-in. */
  readonly backendServer?: Partial<BackendServerSettings>;
  /** VMs whose node is reached by the others through a relay. */
  readonly hasRelay?: (vm: DeploymentVm) => boolean;
  /** Whether the list of VMs and the seed peers name the relay too, as the register does. */
  readonly listsRelay?: boolean;
  /** The program that runs in a node's place, below the root of the build. */
  readonly nodeProgram?: string;
}
