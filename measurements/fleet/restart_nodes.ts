import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";

/**
 * Kills the nodes on the given VMs together, waits until they have exited and
 * starts them together. Resolves with the instant of the start.
 */
export async function restartNodes(
  deployment: Deployment,
  vms: readonly DeploymentVm[],
): Promise<number> {
  const children = vms.map((vm) => deployment.getNode(vm));
  children.forEach((child) => child.process.kill("SIGKILL"));
  await Promise.all(children.map((child) => child.ended));
  const startedAt = Date.now();
  vms.forEach((vm) => deployment.startNode(vm));
  return startedAt;
}
