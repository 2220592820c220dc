import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";

/** Returns the number of nodes in a plan. */
export function getNodeCount(plan: DeploymentPlan): number {
  return plan.services.length * plan.backendServersPerService;
}
