import { CallPriority } from "../../src/configuration/call_priority.ts";
import type { DeploymentPlan } from "./deployment_plan.ts";

/** The plan of Kolorete, a service for booking makeup artists in the Philippines. */
export const koloretePlan: DeploymentPlan = {
  name: "kolorete",
  region: "luzon",
  zones: ["luzon-a", "luzon-b", "luzon-c", "luzon-d"],
  services: [
    {
      name: "artist-directory",
      priority: CallPriority.Normal,
      method: "GET",
      weight: 4,
      bytes: 3000,
    },
    {
      name: "booking-desk",
      priority: CallPriority.High,
      method: "POST",
      weight: 3,
      bytes: 600,
    },
    {
      name: "portfolio-house",
      priority: CallPriority.Normal,
      method: "GET",
      weight: 3,
      bytes: 30_000,
    },
    {
      name: "review-board",
      priority: CallPriority.Low,
      method: "GET",
      weight: 2,
      bytes: 1000,
    },
  ],
  backendServersPerService: 4,
  slots: 6,
  coldSlots: 1,
  connections: 110,
  callsPerSecond: 100,
};
