import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";

const survivorsInHerd = 4;

/** Returns three quarters of the VMs; the others survive, so that the version does. */
export function selectHerd(
  vms: readonly DeploymentVm[],
): readonly DeploymentVm[] {
  return vms.filter((_, index) => index % survivorsInHerd !== 0);
}
