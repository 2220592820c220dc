import type { ExecutionContext } from "ava";
import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentOptions } from "../../stand_ins/deployment/deployment_options.ts";
import { startReadyDeployment } from "../../stand_ins/deployment/start_ready_deployment.ts";
import { smallPlan } from "./small_plan.ts";

const timeoutMilliseconds = 90_000;

/** Returns a test that starts its own deployment and ends the processes of the deployment when it finishes. */
export function withDeployment(
  options: DeploymentOptions,
  run: (deployment: Deployment, assert: ExecutionContext) => Promise<void>,
): (assert: ExecutionContext) => Promise<void> {
  return async (assert) => {
    assert.timeout(timeoutMilliseconds);
    const deployment = await startReadyDeployment(smallPlan, options);
    try {
      await run(deployment, assert);
    } finally {
      await deployment.end();
    }
  };
}
