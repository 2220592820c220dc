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
  /** Returns the process of the node on a VM; the latest one if it was restarted. */
  getNode(vm: DeploymentVm): Child;
  /** Starts a new process of the node on a VM. */
  startNode(vm: DeploymentVm): Child;
  /** Publishes a version; resolves with the instant at which the platform accepted it. */
  publish(change: ConfigurationChange): Promise<number>;
  /** Publishes a text unchanged, also one that is not a valid configuration. */
  publishText(text: string): Promise<number>;
  /** Replaces the platform's list of VMs. */
  publishVmList(
    vms: readonly DeploymentVm[],
    leaving?: readonly DeploymentVm[],
  ): Promise<void>;
  setPlatformFaults(faults: object): Promise<void>;
  setBackendServerState(vm: DeploymentVm, state: object): Promise<void>;
  setBackendServerFaults(vm: DeploymentVm, faults: object): Promise<void>;
  setRelayMode(vm: DeploymentVm, mode: Partial<RelayMode>): Promise<void>;
  /** Resolves with the node's status; undefined if the node does not respond. */
  getStatus(vm: DeploymentVm): Promise<NodeStatus | undefined>;
  /** Resolves with the audit trail of the node on a VM, as JSON lines; empty if the node does not respond. */
  getTrail(vm: DeploymentVm): Promise<string>;
  isReady(vm: DeploymentVm): Promise<boolean>;
  getRuns(vm: DeploymentVm): Promise<BackendServerRuns>;
  getPlatformCounters(): Promise<PlatformCounters>;
  startCaller(settings: Partial<CallerSettings>): RunningCaller;
  /** Kills every process and resolves once all have exited. */
  end(): Promise<void>;
}
