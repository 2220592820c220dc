import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { InvalidRun } from "../invalid_run.ts";
import type { FleetReading } from "./fleet_reading.ts";
import { readNodeReport } from "./read_node_report.ts";
import { readProcessUse } from "./read_process_use.ts";

/** Reads the counters of every node and of the platform. */
export async function readFleet(deployment: Deployment): Promise<FleetReading> {
  const at = Date.now();
  const counters = await deployment.getPlatformCounters();
  const nodes = await Promise.all(
    deployment.vms.map((vm) => readNode(deployment, vm)),
  );
  return { at, nodes, platformReads: counters.reads };
}

async function readNode(deployment: Deployment, vm: DeploymentVm) {
  const use = readProcessUse(deployment.getNode(vm));
  const report = await readNodeReport(vm);
  if (report === undefined) {
    throw new InvalidRun(`the node on "${vm.vm}" does not answer`);
  }
  return { report, use };
}
