import { CallPriority } from "../../src/configuration/call_priority.ts";
import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";

const serviceCount = 4;
const nodesPerZone = 12;
const minimumZones = 3;

/** Returns the plan of a deployment of `nodes` nodes in four services, with one availability zone per twelve nodes and at least three zones. */
export function createFleetPlan(nodes: number): DeploymentPlan {
  const zones = Math.max(minimumZones, Math.round(nodes / nodesPerZone));
  return {
    name: `fleet-${nodes}`,
    region: "region-1",
    zones: Array.from({ length: zones }, (_, index) => `zone-${index + 1}`),
    services: Array.from({ length: serviceCount }, (_, index) => ({
      name: `service-${index + 1}`,
      priority: CallPriority.Normal,
      method: "GET" as const,
      weight: 1,
      bytes: 500,
    })),
    backendServersPerService: nodes / serviceCount,
    slots: 12,
    coldSlots: 2,
    connections: 120,
    callsPerSecond: 100,
  };
}
