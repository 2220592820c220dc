import type { CallerSettings } from "../caller/caller_settings.ts";
import type { PlatformCounters } from "../platform/platform_counters.ts";
import type { RelayMode } from "../relay/relay_mode.ts";
import type { BackendServerRuns } from "./backend_server_runs.ts";
import type { Child } from "./child.ts";
import type { ConfigurationChange } from "./configuration_change.ts";
import type { DeploymentVm } from "./deployment_vm.ts";
import type { NodeStatus } from "./node_status.ts";
import type { RunningCaller } from "./running_caller.ts";

/** A deployment that runs as separate processes on loopback. */
export interface Deployment {
  readonly vms: readonly DeploymentVm[];
  readonly platformPort: number;
  /** The node on a VM; the latest where it was started again. */
  getNode(vm: DeploymentVm): Child;
  /** Starts the node on a VM again. */
  startNode(vm: DeploymentVm): Child;
  /** Publishes a version; resolves with the instant of the platform's acceptance. */
  publish(change: ConfigurationChange): Promise<number>;
  /** Publishes a text as it is. */
  publishText(text: string): Promise<number>;
  /** Replaces the platform's list of VMs. */
  listVms(
    vms: readonly DeploymentVm[],
    leaving?: readonly DeploymentVm[],
  ): Promise<void>;
  setPlatformFaults(faults: object): Promise<void>;
  setBackendServerState(vm: DeploymentVm, state: object): Promise<void>;
  setBackendServerFaults(vm: DeploymentVm, faults: object): Promise<void>;
  setRelayMode(vm: DeploymentVm, mode: Partial<RelayMode>): Promise<void>;
  /** Undefined where the node does not answer. */
  getStatus(vm: DeploymentVm): Promise<NodeStatus | undefined>;
  /** The audit trail that the node on a VM holds, as JSON lines; empty where it does not answer. */
  getTrail(vm: DeploymentVm): Promise<string>;
  isReady(vm: DeploymentVm): Promise<boolean>;
  getRuns(vm: DeploymentVm): Promise<BackendServerRuns>;
  getPlatformCounters(): Promise<PlatformCounters>;
  startCaller(settings: Partial<CallerSettings>): RunningCaller;
  /** Ends every process. */
  end(): Promise<void>;
}
