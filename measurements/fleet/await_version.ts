import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { InvalidRunError } from "../invalid_run_error.ts";
import { wait } from "../wait.ts";
import { readNodeStatus } from "./read_node_status.ts";

const pollIntervalMilliseconds = 100;

/**
 * Waits until the node has version `number` or a higher one in force. Resolves
 * with the instant of application that the node reports, which does not depend
 * on the poll interval. Rejects with InvalidRunError after the deadline.
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
      `node on "${vm.vm}" did not apply version ${options.number} before the deadline`,
    );
  }
  await wait(pollIntervalMilliseconds);
  return awaitVersion(vm, options);
}
