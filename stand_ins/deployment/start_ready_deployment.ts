import { awaitReadiness } from "./await_readiness.ts";
import type { Deployment } from "./deployment.ts";
import { DeploymentFailure } from "./deployment_failure.ts";
import type { DeploymentOptions } from "./deployment_options.ts";
import type { DeploymentPlan } from "./deployment_plan.ts";
import { startDeployment } from "./start_deployment.ts";

const startsMaximum = 3;
const portTaken = "EADDRINUSE";

/**
 * Starts a deployment and resolves once every node is ready. A port is found
 * free before its process binds it; where another program took it in between,
 * the deployment is started again on other ports.
 */
export async function startReadyDeployment(
  plan: DeploymentPlan,
  options: DeploymentOptions = {},
  startsLeft: number = startsMaximum,
): Promise<Deployment> {
  let deployment: Deployment | undefined;
  try {
    deployment = await startDeployment(plan, options);
    await awaitReadiness(deployment);
    return deployment;
  } catch (failure) {
    await deployment?.end();
    if (
      startsLeft > 1 && failure instanceof DeploymentFailure &&
      failure.message.includes(portTaken)
    ) {
      return await startReadyDeployment(plan, options, startsLeft - 1);
    }
    throw failure;
  }
}
