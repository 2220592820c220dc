import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";

/** Resolves with how many calls the backend servers on the VMs have begun so far. */
export async function countStartedCalls(
  deployment: Deployment,
  vms: readonly DeploymentVm[],
): Promise<number> {
  const runs = await Promise.all(vms.map(deployment.getRuns));
  return runs.reduce((sum, run) => sum + run.begun, 0);
}
