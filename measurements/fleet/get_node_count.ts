import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";

/** Returns how many nodes a plan has. */
export function getNodeCount(plan: DeploymentPlan): number {
  return plan.services.length * plan.backendServersPerService;
}
