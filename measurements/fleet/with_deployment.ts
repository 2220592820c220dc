import type { Child } from "../../stand_ins/deployment/child.ts";
import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentOptions } from "../../stand_ins/deployment/deployment_options.ts";
import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";
import { startDeployment } from "../../stand_ins/deployment/start_deployment.ts";
import { InvalidRun } from "../invalid_run.ts";
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
    await Promise.race([
      awaitVersionEverywhere(deployment.vms, firstNumber),
      ...deployment.vms.map((vm) => failOnEnd(deployment.getNode(vm))),
    ]);
    return await work(deployment);
  } finally {
    await deployment.end();
  }
}

async function failOnEnd(child: Child): Promise<never> {
  const status = await child.ended;
  throw new InvalidRun(
    `"${child.name}" ended with ${status}: ${child.getOutput().join("\n")}`,
  );
}
