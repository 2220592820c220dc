import { CallPriority } from "../../src/configuration/call_priority.ts";
import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";

/** Deploys two services with one backend server each, so that the path of a call is known. */
export const costPlan: DeploymentPlan = {
  name: "cost",
  region: "region-1",
  zones: ["zone-1"],
  services: ["near", "far"].map((name) => ({
    name,
    priority: CallPriority.Normal,
    method: "GET" as const,
    weight: 1,
    bytes: 500,
  })),
  backendServersPerService: 1,
  slots: 64,
  coldSlots: 64,
  connections: 256,
  callsPerSecond: 1,
};
