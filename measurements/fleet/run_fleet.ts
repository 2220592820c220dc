import { wait } from "../wait.ts";
import { computeControlUse } from "./compute_control_use.ts";
import { createFleetPlan } from "./create_fleet_plan.ts";
import type { FleetRun } from "./fleet_run.ts";
import { plainNodeProgram } from "./plain_node_program.ts";
import { publishInTurn } from "./publish_in_turn.ts";
import { readFleet } from "./read_fleet.ts";
import { withDeployment } from "./with_deployment.ts";

const millisecondsPerSecond = 1000;

/** Starts a fleet, reads its use at rest, publishes some changes and reads again. */
export function runFleet(
  options: {
    readonly nodes: number;
    readonly repeat: number;
    readonly isBaseline: boolean;
    readonly settleMilliseconds: number;
    readonly restMilliseconds: number;
    readonly changes: number;
  },
): Promise<FleetRun> {
  const { nodes, repeat, isBaseline } = options;
  return withDeployment(
    createFleetPlan(nodes),
    isBaseline ? { nodeProgram: plainNodeProgram } : {},
    async (deployment) => {
      await wait(options.settleMilliseconds);
      const first = await readFleet(deployment);
      await wait(options.restMilliseconds);
      const second = await readFleet(deployment);
      const atRest = computeControlUse(first, second);
      const convergence = await publishInTurn(deployment, {
        firstNumber: 2,
        count: options.changes,
      });
      const third = await readFleet(deployment);
      const changing = computeControlUse(second, third);
      const counters = await deployment.getPlatformCounters();
      const extraPerSecond = changing.bytesSentPerSecond +
        changing.bytesReceivedPerSecond - atRest.bytesSentPerSecond -
        atRest.bytesReceivedPerSecond;
      return {
        nodes,
        repeat,
        isBaseline,
        atRest,
        convergence,
        bytesPerChange: extraPerSecond * changing.windowMilliseconds /
          millisecondsPerSecond / options.changes,
        peakPlatformReadsPerSecond: counters.peakReadsPerSecond,
      };
    },
  );
}
