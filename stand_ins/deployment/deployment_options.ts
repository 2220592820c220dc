import type { BackendServerSettings } from "../backend_server/backend_server_settings.ts";
import type { DeploymentVm } from "./deployment_vm.ts";

/** The options in which runs of one plan may differ. */
export interface DeploymentOptions {
  /** Replaces values under `timing` in the settings of every node. */
  readonly timing?: object;
  /** Replaces settings of every backend server stand-in. */
  readonly backendServer?: Partial<BackendServerSettings>;
  /** Whether other nodes reach the VM's node through a relay. */
  readonly hasRelay?: (vm: DeploymentVm) => boolean;
  /** Whether the list of VMs and the seed peers contain the relay's address, as the register always does. */
  readonly listsRelay?: boolean;
  /** Path of the program that runs as the node, relative to the root of the build. */
  readonly nodeProgram?: string;
}
