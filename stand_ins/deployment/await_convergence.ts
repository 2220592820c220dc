import type { Deployment } from "./deployment.ts";
import type { DeploymentVm } from "./deployment_vm.ts";
import { waitUntil } from "./wait_until.ts";

/** Resolves with the milliseconds from `acceptedAt` until the version was in force on every VM; undefined if it was not by the deadline. */
export async function awaitConvergence(
  deployment: Deployment,
  options: {
    readonly vms: readonly DeploymentVm[];
    readonly number: number;
    readonly acceptedAt: number;
    readonly deadline: number;
  },
): Promise<number | undefined> {
  const waits = options.vms.map((vm) =>
    waitUntil(
      async () =>
        ((await deployment.getStatus(vm))?.version?.number ?? 0) >=
          options.number,
      options.deadline,
    )
  );
  const converged = (await Promise.all(waits)).every((inForce) => inForce);
  return converged ? Date.now() - options.acceptedAt : undefined;
}
