import { match } from "ts-pattern";
import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import { awaitVersionEverywhere } from "../fleet/await_version_everywhere.ts";
import { restartHerd } from "../fleet/restart_herd.ts";
import { selectHerd } from "../fleet/select_herd.ts";
import { wait } from "../wait.ts";
import { ConvergenceCondition } from "./convergence_condition.ts";

const settleMilliseconds = 1500;
const loadLeadMilliseconds = 1500;

/** Publishes one version under a condition; resolves with the time to each node, in milliseconds, once all is quiet again. */
export async function publishUnderCondition(
  deployment: Deployment,
  options: {
    readonly condition: ConvergenceCondition;
    readonly number: number;
    readonly callsPerSecond: number;
  },
): Promise<readonly number[]> {
  const { number, callsPerSecond } = options;
  const publish = () =>
    deployment.publish({ number, retryBudgetPercent: 10 + number % 2 });
  const awaitEverywhere = async (acceptedAt: number) => {
    const applied = await awaitVersionEverywhere(deployment.vms, number);
    return applied.map((instant) => Math.max(0, instant - acceptedAt));
  };
  const times = await match(options.condition)
    .with(
      ConvergenceCondition.AtRest,
      async () => awaitEverywhere(await publish()),
    )
    .with(ConvergenceCondition.UnderLoad, async () => {
      const caller = deployment.startCaller({ callsPerSecond });
      await wait(loadLeadMilliseconds);
      const result = await awaitEverywhere(await publish());
      caller.stop();
      await caller.report;
      return result;
    })
    .with(ConvergenceCondition.PlatformCut, async () => {
      const acceptedAt = await publish();
      await deployment.setPlatformFaults({ outage: true });
      const result = await awaitEverywhere(acceptedAt);
      await deployment.setPlatformFaults({});
      return result;
    })
    .with(ConvergenceCondition.HerdRestart, async () => {
      const acceptedAt = await publish();
      await restartHerd(deployment, selectHerd(deployment.vms));
      return await awaitEverywhere(acceptedAt);
    })
    .exhaustive();
  await wait(settleMilliseconds);
  return times;
}
