import type { Deployment } from "./deployment.ts";
import type { DeploymentVm } from "./deployment_vm.ts";

/** Resolves with the version in force on each VM whose node responds and has one. */
export async function getVersionsInForce(
  deployment: Deployment,
  vms: readonly DeploymentVm[],
): Promise<ReadonlyMap<string, { number: number; digest: string }>> {
  const statuses = await Promise.all(vms.map(deployment.getStatus));
  return new Map(
    vms.flatMap((vm, index) => {
      const version = statuses[index]?.version;
      return version === undefined || version === null
        ? []
        : [[vm.vm, version] as const];
    }),
  );
}
