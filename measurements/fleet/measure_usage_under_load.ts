import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import { wait } from "../wait.ts";
import { computeControlUsage } from "./compute_control_usage.ts";
import type { ControlUsage } from "./control_usage.ts";
import { readFleetCounters } from "./read_fleet_counters.ts";

const settleMilliseconds = 500;

/** Runs callers against a deployment and resolves, after they have ended, with the control usage during the load. */
export async function measureUsageUnderLoad(
  deployment: Deployment,
  options: { readonly callsPerSecond: number; readonly milliseconds: number },
): Promise<ControlUsage> {
  const { callsPerSecond, milliseconds } = options;
  const caller = deployment.startCaller({
    callsPerSecond,
    durationMilliseconds: milliseconds + settleMilliseconds * 2,
  });
  await wait(settleMilliseconds);
  const before = await readFleetCounters(deployment);
  await wait(milliseconds);
  const after = await readFleetCounters(deployment);
  caller.stop();
  await caller.report;
  await wait(settleMilliseconds);
  return computeControlUsage(before, after);
}
