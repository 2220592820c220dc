import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";

/** A fleet to run, under the label that tables use. */
export interface FleetCase {
  readonly label: string;
  readonly plan: DeploymentPlan;
}
