import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { InvalidRunError } from "../invalid_run_error.ts";
import { wait } from "../wait.ts";
import { readNodeStatus } from "./read_node_status.ts";

const pollIntervalMilliseconds = 100;

/**
 * Waits until the node has the version `number` or a higher one in force, and
 * resolves with the instant at which it says that it was applied. Polls slowly,
 * since the instant does not depend on it.
 */
export async function awaitVersion(
  vm: DeploymentVm,
  options: { readonly number: number; readonly deadline: number },
): Promise<number> {
  const status = await readNodeStatus(vm);
  const appliedAt = status?.distribution.appliedAt;
  if (
    appliedAt !== undefined && (status?.version?.number ?? 0) >= options.number
  ) {
    return appliedAt;
  }
  if (Date.now() >= options.deadline) {
    throw new InvalidRunError(
      `"${vm.vm}" did not put version ${options.number} in force in time`,
    );
  }
  await wait(pollIntervalMilliseconds);
  return awaitVersion(vm, options);
}
