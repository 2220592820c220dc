import type { Child } from "../../stand_ins/deployment/child.ts";
import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentOptions } from "../../stand_ins/deployment/deployment_options.ts";
import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";
import { startDeployment } from "../../stand_ins/deployment/start_deployment.ts";
import { InvalidRunError } from "../invalid_run_error.ts";
import { awaitVersionEverywhere } from "./await_version_everywhere.ts";

const firstVersionNumber = 1;
const startAttempts = 3;

/** Starts a deployment, runs `work` once every node has version 1 in force, and always ends the deployment. */
export async function withDeployment<Value>(
  plan: DeploymentPlan,
  options: DeploymentOptions,
  work: (deployment: Deployment) => Promise<Value>,
): Promise<Value> {
  const deployment = await startUntilReady(plan, {
    options,
    attempts: startAttempts,
  });
  try {
    return await work(deployment);
  } finally {
    await deployment.end();
  }
}

/**
 * Starts a deployment and retries if the start fails, since another program may
 * bind one of the chosen ports first. `startReadyDeployment` does the same for
 * small deployments only: it polls every node every 20 ms and times out after
 * 20 s, which a hundred nodes on one machine may need to start.
 */
async function startUntilReady(
  plan: DeploymentPlan,
  start: { readonly options: DeploymentOptions; readonly attempts: number },
): Promise<Deployment> {
  try {
    return await startOnce(plan, start.options);
  } catch (error) {
    if (start.attempts <= 1) {
      throw error;
    }
    return startUntilReady(plan, { ...start, attempts: start.attempts - 1 });
  }
}

async function startOnce(
  plan: DeploymentPlan,
  options: DeploymentOptions,
): Promise<Deployment> {
  const deployment = await startDeployment(plan, options);
  try {
    await Promise.race([
      awaitVersionEverywhere(deployment.vms, firstVersionNumber),
      ...deployment.vms.map((vm) => rejectOnExit(deployment.getNode(vm))),
    ]);
    return deployment;
  } catch (error) {
    await deployment.end();
    throw error;
  }
}

async function rejectOnExit(child: Child): Promise<never> {
  const status = await child.ended;
  throw new InvalidRunError(
    `process "${child.name}" exited with status ${status}: ${
      child.getOutput().join("\n")
    }`,
  );
}
