import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { InvalidRunError } from "../invalid_run_error.ts";
import type { FleetCounters } from "./fleet_counters.ts";
import { readNodeStatus } from "./read_node_status.ts";
import { readProcessUsage } from "./read_process_usage.ts";

/** Reads the counters of the platform and of every node; rejects with InvalidRunError if a node does not respond. */
export async function readFleetCounters(
  deployment: Deployment,
): Promise<FleetCounters> {
  const at = Date.now();
  const counters = await deployment.getPlatformCounters();
  const nodes = await Promise.all(
    deployment.vms.map((vm) => readNodeCounters(deployment, vm)),
  );
  return { at, nodes, platformReads: counters.reads };
}

async function readNodeCounters(deployment: Deployment, vm: DeploymentVm) {
  const usage = readProcessUsage(deployment.getNode(vm));
  const status = await readNodeStatus(vm);
  if (status === undefined) {
    throw new InvalidRunError(`node on "${vm.vm}" does not respond`);
  }
  return { status, usage };
}
