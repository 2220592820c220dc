import { awaitReadiness } from "./await_readiness.ts";
import type { Deployment } from "./deployment.ts";
import { DeploymentError } from "./deployment_error.ts";
import type { DeploymentOptions } from "./deployment_options.ts";
import type { DeploymentPlan } from "./deployment_plan.ts";
import { startDeployment } from "./start_deployment.ts";

const startsMaximum = 3;
const portInUseCode = "EADDRINUSE";

/**
 * Starts a deployment and resolves once every node is ready. Ports are found to
 * be free before the processes bind them; if another program binds one in
 * between, the deployment is started again on other ports.
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
  } catch (error) {
    await deployment?.end();
    if (
      startsLeft > 1 && error instanceof DeploymentError &&
      error.message.includes(portInUseCode)
    ) {
      return await startReadyDeployment(plan, options, startsLeft - 1);
    }
    throw error;
  }
}
