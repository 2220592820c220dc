import { CallPriority } from "../../src/configuration/call_priority.ts";
import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";

/** The plan of a deployment of six VMs in three zones, for tests with real processes. */
export const smallPlan: DeploymentPlan = {
  name: "small",
  region: "sul",
  zones: ["sul-a", "sul-b", "sul-c"],
  services: [
    {
      name: "vitrine",
      priority: CallPriority.Normal,
      method: "GET",
      weight: 1,
      bytes: 3000,
    },
    {
      name: "encomendas",
      priority: CallPriority.High,
      method: "POST",
      weight: 1,
      bytes: 500,
    },
  ],
  backendServersPerService: 3,
  slots: 6,
  coldSlots: 2,
  connections: 60,
  callsPerSecond: 60,
};
