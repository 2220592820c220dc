import type { ExecutionContext } from "ava";
import { awaitConvergence } from "../../stand_ins/deployment/await_convergence.ts";
import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { watchVersions } from "../../stand_ins/deployment/watch_versions.ts";

const convergenceLimitMilliseconds = 11_000;

/** Asserts that exactly one version, of this number, comes into force on all the VMs within the letter's limit. */
export async function assertInForce(
  assert: ExecutionContext,
  options: {
    readonly deployment: Deployment;
    readonly vms: readonly DeploymentVm[];
    readonly number: number;
    readonly since: number;
  },
): Promise<void> {
  const { deployment, vms, number, since } = options;
  const convergenceMilliseconds = await awaitConvergence(deployment, {
    vms,
    number,
    acceptedAt: since,
    deadline: since + convergenceLimitMilliseconds,
  });
  const versions = await watchVersions(deployment, vms);
  const numbers = vms.map((vm) => versions.get(vm.vm)?.number);
  assert.not(
    convergenceMilliseconds,
    undefined,
    `in force: ${numbers.join(", ")}`,
  );
  assert.deepEqual([...new Set(numbers)], [number]);
}
