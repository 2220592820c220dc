import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";

const survivorInterval = 4;

/** Returns three quarters of the VMs. The nodes on the others keep running, so that the version in force survives. */
export function selectNodesToRestart(
  vms: readonly DeploymentVm[],
): readonly DeploymentVm[] {
  return vms.filter((_, index) => index % survivorInterval !== 0);
}
