import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";
import { runSequentially } from "../run_sequentially.ts";
import { wait } from "../wait.ts";
import { awaitVersionEverywhere } from "./await_version_everywhere.ts";
import { createServiceChange } from "./create_service_change.ts";

const pauseMilliseconds = 500;

/**
 * Publishes changes of one service, one after another. Resolves with the times
 * from the platform's acceptance of a version until it was in force, by version
 * and node, in milliseconds.
 */
export async function publishSequentially(
  deployment: Deployment,
  options: {
    readonly plan: DeploymentPlan;
    readonly firstVersionNumber: number;
    readonly count: number;
  },
): Promise<readonly (readonly number[])[]> {
  const numbers = Array.from(
    { length: options.count },
    (_, index) => options.firstVersionNumber + index,
  );
  return await runSequentially(numbers, async (number) => {
    const acceptedAt = await deployment.publishText(
      createServiceChange(options.plan, deployment.vms, number),
    );
    const appliedInstants = await awaitVersionEverywhere(
      deployment.vms,
      number,
    );
    await wait(pauseMilliseconds);
    return appliedInstants.map((instant) => Math.max(0, instant - acceptedAt));
  });
}
