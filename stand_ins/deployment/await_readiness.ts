import type { Deployment } from "./deployment.ts";
import { DeploymentFailure } from "./deployment_failure.ts";
import type { DeploymentVm } from "./deployment_vm.ts";
import { waitUntil } from "./wait_until.ts";

const readyMilliseconds = 20_000;

/** Resolves once every node is ready; fails with the output of one that is late. */
export async function awaitReadiness(deployment: Deployment): Promise<void> {
  const deadline = Date.now() + readyMilliseconds;
  const ready = await Promise.all(
    deployment.vms.map((vm) =>
      waitUntil(
        async () => hasEnded(deployment, vm) || await deployment.isReady(vm),
        deadline,
      )
    ),
  );
  const late = deployment.vms.filter((vm, index) =>
    !ready[index] || hasEnded(deployment, vm)
  );
  const shown = late.find((vm) => hasEnded(deployment, vm)) ?? late[0];
  if (shown !== undefined) {
    const names = late.map((vm) => vm.vm).join(", ");
    const output = deployment.getNode(shown).getOutput().join("\n");
    throw new DeploymentFailure(
      `Not ready within ${readyMilliseconds} ms: ${names}\n${output}`,
    );
  }
}

function hasEnded(deployment: Deployment, vm: DeploymentVm): boolean {
  return deployment.getNode(vm).process.exitCode !== null;
}
