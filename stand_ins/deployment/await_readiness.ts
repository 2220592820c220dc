import type { Deployment } from "./deployment.ts";
import { DeploymentError } from "./deployment_error.ts";
import type { DeploymentVm } from "./deployment_vm.ts";
import { waitUntil } from "./wait_until.ts";

const readinessTimeoutMilliseconds = 20_000;

/** Resolves once every node is ready; rejects with the output of one node if some are not ready in time or have exited. */
export async function awaitReadiness(deployment: Deployment): Promise<void> {
  const deadline = Date.now() + readinessTimeoutMilliseconds;
  const ready = await Promise.all(
    deployment.vms.map((vm) =>
      waitUntil(
        async () => hasExited(deployment, vm) || await deployment.isReady(vm),
        deadline,
      )
    ),
  );
  const unreadyVms = deployment.vms.filter((vm, index) =>
    !ready[index] || hasExited(deployment, vm)
  );
  const reportedVm = unreadyVms.find((vm) => hasExited(deployment, vm)) ??
    unreadyVms[0];
  if (reportedVm !== undefined) {
    const names = unreadyVms.map((vm) => vm.vm).join(", ");
    const output = deployment.getNode(reportedVm).getOutput().join("\n");
    throw new DeploymentError(
      `Nodes not ready within ${readinessTimeoutMilliseconds} ms: ${names}\n${output}`,
    );
  }
}

function hasExited(deployment: Deployment, vm: DeploymentVm): boolean {
  return deployment.getNode(vm).process.exitCode !== null;
}
