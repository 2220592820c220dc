import type { ExecutionContext } from "ava";
import { awaitConvergence } from "../../stand_ins/deployment/await_convergence.ts";
import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { getVersionsInForce } from "../../stand_ins/deployment/get_versions_in_force.ts";

/** The required limit on the time until an accepted configuration is in force on all nodes. */
const convergenceLimitMilliseconds = 11_000;

/** Asserts that the version with this number, and no other, comes into force on all the VMs within the limit. */
export async function assertInForce(
  assert: ExecutionContext,
  options: {
    readonly deployment: Deployment;
    readonly vms: readonly DeploymentVm[];
    readonly number: number;
    /** Start of the limit, in milliseconds since the Unix epoch. */
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
  const versions = await getVersionsInForce(deployment, vms);
  const numbers = vms.map((vm) => versions.get(vm.vm)?.number);
  assert.not(
    convergenceMilliseconds,
    undefined,
    `in force: ${numbers.join(", ")}`,
  );
  assert.deepEqual([...new Set(numbers)], [number]);
}
