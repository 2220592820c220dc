import type { ExecutionContext } from "ava";
import { awaitReadiness } from "../../stand_ins/deployment/await_readiness.ts";
import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentOptions } from "../../stand_ins/deployment/deployment_options.ts";
import { startDeployment } from "../../stand_ins/deployment/start_deployment.ts";
import { smallPlan } from "./small_plan.ts";

const timeoutMilliseconds = 90_000;

/** Returns a test that runs against a deployment of its own, whose processes end with it. */
export function withDeployment(
  options: DeploymentOptions,
  run: (deployment: Deployment, assert: ExecutionContext) => Promise<void>,
): (assert: ExecutionContext) => Promise<void> {
  return async (assert) => {
    assert.timeout(timeoutMilliseconds);
    const deployment = await startDeployment(smallPlan, options);
    try {
      await awaitReadiness(deployment);
      await run(deployment, assert);
    } finally {
      await deployment.end();
    }
  };
}
