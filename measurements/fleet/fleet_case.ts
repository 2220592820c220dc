import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";

/** A deployment to measure, with its label in tables. */
export interface FleetCase {
  readonly label: string;
  readonly plan: DeploymentPlan;
}
