import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";

/** Resolves with the number of calls that the backend servers on the VMs have started to run. */
export async function countStartedCalls(
  deployment: Deployment,
  vms: readonly DeploymentVm[],
): Promise<number> {
  const runs = await Promise.all(vms.map(deployment.getRuns));
  return runs.reduce((sum, run) => sum + run.begun, 0);
}
