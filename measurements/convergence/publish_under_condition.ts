import { match } from "ts-pattern";
import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import { awaitVersionEverywhere } from "../fleet/await_version_everywhere.ts";
import { restartNodes } from "../fleet/restart_nodes.ts";
import { selectNodesToRestart } from "../fleet/select_nodes_to_restart.ts";
import { wait } from "../wait.ts";
import { ConvergenceCondition } from "./convergence_condition.ts";

const pauseMilliseconds = 1500;
const loadWarmUpMilliseconds = 1500;

/**
 * Publishes one version under a condition and measures for each node the time
 * from the platform's acceptance until the version was in force. Resolves with
 * these times in milliseconds, after a fixed pause for the deployment to settle.
 */
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
  const measureConvergence = async (acceptedAt: number) => {
    const appliedInstants = await awaitVersionEverywhere(
      deployment.vms,
      number,
    );
    return appliedInstants.map((instant) => Math.max(0, instant - acceptedAt));
  };
  const milliseconds = await match(options.condition)
    .with(
      ConvergenceCondition.AtRest,
      async () => measureConvergence(await publish()),
    )
    .with(ConvergenceCondition.UnderLoad, async () => {
      const caller = deployment.startCaller({ callsPerSecond });
      await wait(loadWarmUpMilliseconds);
      const result = await measureConvergence(await publish());
      caller.stop();
      await caller.report;
      return result;
    })
    .with(ConvergenceCondition.PlatformOutage, async () => {
      const acceptedAt = await publish();
      await deployment.setPlatformFaults({ outage: true });
      const result = await measureConvergence(acceptedAt);
      await deployment.setPlatformFaults({});
      return result;
    })
    .with(ConvergenceCondition.MassRestart, async () => {
      const acceptedAt = await publish();
      await restartNodes(deployment, selectNodesToRestart(deployment.vms));
      return await measureConvergence(acceptedAt);
    })
    .exhaustive();
  await wait(pauseMilliseconds);
  return milliseconds;
}
