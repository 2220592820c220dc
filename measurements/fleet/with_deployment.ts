import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentOptions } from "../../stand_ins/deployment/deployment_options.ts";
import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";
import { startDeployment } from "../../stand_ins/deployment/start_deployment.ts";
import { awaitVersionEverywhere } from "./await_version_everywhere.ts";

const firstNumber = 1;

/** Starts a deployment, runs `work` once every node has version 1 in force, and ends it whatever happens. */
export async function withDeployment<Value>(
  plan: DeploymentPlan,
  options: DeploymentOptions,
  work: (deployment: Deployment) => Promise<Value>,
): Promise<Value> {
  const deployment = await startDeployment(plan, options);
  try {
    await awaitVersionEverywhere(deployment.vms, firstNumber);
    return await work(deployment);
  } finally {
    await deployment.end();
  }
}
