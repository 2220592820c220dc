import { CallPriority } from "../../src/configuration/call_priority.ts";
import type { DeploymentPlan } from "./deployment_plan.ts";

/** The plan of Bolo Festa Sul, a service for ordering cakes between Porto Alegre and Joinville. */
export const boloFestaSulPlan: DeploymentPlan = {
  name: "bolo-festa-sul",
  region: "sul",
  zones: ["sul-a", "sul-b", "sul-c"],
  services: [
    {
      name: "vitrine",
      priority: CallPriority.Normal,
      method: "GET",
      weight: 5,
      bytes: 4000,
    },
    {
      name: "encomendas",
      priority: CallPriority.High,
      method: "POST",
      weight: 3,
      bytes: 500,
    },
    {
      name: "fornadas",
      priority: CallPriority.Low,
      method: "GET",
      weight: 2,
      bytes: 1500,
    },
    {
      name: "repasses",
      priority: CallPriority.Low,
      method: "GET",
      weight: 1,
      bytes: 20_000,
    },
  ],
  backendServersPerService: 3,
  slots: 12,
  coldSlots: 2,
  connections: 120,
  callsPerSecond: 120,
};
