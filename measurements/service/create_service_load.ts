import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";
import type { ServiceLoad } from "./service_load.ts";

const abandonShare = 0.6;
const abandonMilliseconds: readonly [number, number] = [1, 200];
const workMilliseconds: readonly [number, number] = [80, 240];
const targetSlotShare = 0.75;
const millisecondsPerSecond = 1000;

/** Returns a load that occupies three quarters of the slots of the busiest service while all zones are in service. */
export function createServiceLoad(plan: DeploymentPlan): ServiceLoad {
  const weights = plan.services.map((service) => service.weight);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const busiest = Math.max(...weights) / total;
  const slots = plan.slots * plan.backendServersPerService;
  const workMean = getMidpoint(workMilliseconds);
  const abandonMean = getMidpoint(abandonMilliseconds);
  const serviceMilliseconds = (1 - abandonShare) * workMean +
    abandonShare * Math.min(workMean, abandonMean);
  const perSecond = slots * millisecondsPerSecond / serviceMilliseconds;
  return {
    callsPerSecond: Math.round(targetSlotShare * perSecond / busiest),
    abandonShare,
    abandonMilliseconds,
    workMilliseconds,
  };
}

function getMidpoint([lowest, highest]: readonly [number, number]): number {
  return (lowest + highest) / 2;
}
