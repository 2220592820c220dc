import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { InvalidRun } from "../invalid_run.ts";
import { wait } from "../wait.ts";
import { readNodeReport } from "./read_node_report.ts";

const pollMilliseconds = 100;

/**
 * Waits until the node has the version `number` or a higher one in force, and
 * resolves with the instant at which it says that it was applied. Polls slowly,
 * since the instant does not depend on it.
 */
export async function awaitVersion(
  vm: DeploymentVm,
  options: { readonly number: number; readonly deadline: number },
): Promise<number> {
  const report = await readNodeReport(vm);
  const appliedAt = report?.distribution.appliedAt;
  if (
    appliedAt !== undefined && (report?.version?.number ?? 0) >= options.number
  ) {
    return appliedAt;
  }
  if (Date.now() >= options.deadline) {
    throw new InvalidRun(
      `"${vm.vm}" did not put version ${options.number} in force in time`,
    );
  }
  await wait(pollMilliseconds);
  return awaitVersion(vm, options);
}
