import type { ExecutionContext } from "ava";
import { awaitConvergence } from "../../stand_ins/deployment/await_convergence.ts";
import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { getVersionsInForce } from "../../stand_ins/deployment/get_versions_in_force.ts";

const limitMilliseconds = 11_000;

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
  const took = await awaitConvergence(deployment, {
    vms,
    number,
    acceptedAt: since,
    deadline: since + limitMilliseconds,
  });
  const versions = await getVersionsInForce(deployment, vms);
  const numbers = vms.map((vm) => versions.get(vm.vm)?.number);
  assert.not(took, undefined, `in force: ${numbers.join(", ")}`);
  assert.deepEqual([...new Set(numbers)], [number]);
}
