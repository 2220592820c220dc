import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import { wait } from "../wait.ts";
import { computeControlUse } from "./compute_control_use.ts";
import type { ControlUse } from "./control_use.ts";
import { readFleet } from "./read_fleet.ts";

const settleMilliseconds = 500;

/** Runs callers against a deployment and returns what control used meanwhile; resolves once they have ended. */
export async function readUnderLoad(
  deployment: Deployment,
  options: { readonly callsPerSecond: number; readonly milliseconds: number },
): Promise<ControlUse> {
  const { callsPerSecond, milliseconds } = options;
  const caller = deployment.startCaller({
    callsPerSecond,
    durationMilliseconds: milliseconds + settleMilliseconds * 2,
  });
  await wait(settleMilliseconds);
  const before = await readFleet(deployment);
  await wait(milliseconds);
  const after = await readFleet(deployment);
  caller.stop();
  await caller.report;
  await wait(settleMilliseconds);
  return computeControlUse(before, after);
}
