import { Buffer } from "node:buffer";
import { wait } from "../wait.ts";
import { computeControlUse } from "./compute_control_use.ts";
import { createServiceChange } from "./create_service_change.ts";
import type { FleetCase } from "./fleet_case.ts";
import type { FleetRun } from "./fleet_run.ts";
import { getNodeCount } from "./get_node_count.ts";
import { plainNodeProgram } from "./plain_node_program.ts";
import { publishInTurn } from "./publish_in_turn.ts";
import { readFleet } from "./read_fleet.ts";
import { readUnderLoad } from "./read_under_load.ts";
import { runStorm } from "./run_storm.ts";
import { withDeployment } from "./with_deployment.ts";

const millisecondsPerSecond = 1000;

/** Starts a fleet, reads its use at rest, publishes changes, restarts a herd of its nodes and reads again. */
export function runFleet(
  fleetCase: FleetCase,
  options: {
    readonly repeat: number;
    readonly isBaseline: boolean;
    readonly settleMilliseconds: number;
    readonly restMilliseconds: number;
    readonly stormMilliseconds: number;
    readonly changes: number;
  },
): Promise<FleetRun> {
  const { label, plan } = fleetCase;
  const { repeat, isBaseline } = options;
  return withDeployment(
    plan,
    isBaseline ? { nodeProgram: plainNodeProgram } : {},
    async (deployment) => {
      await wait(options.settleMilliseconds);
      const first = await readFleet(deployment);
      await wait(options.restMilliseconds);
      const second = await readFleet(deployment);
      const atRest = computeControlUse(first, second);
      const underLoad = await readUnderLoad(deployment, {
        callsPerSecond: plan.callsPerSecond,
        milliseconds: options.restMilliseconds,
      });
      const beforeChanges = await readFleet(deployment);
      const times = await publishInTurn(deployment, {
        plan,
        firstNumber: 2,
        count: options.changes,
      });
      const third = await readFleet(deployment);
      const changing = computeControlUse(beforeChanges, third);
      const storm = await runStorm(deployment, options.stormMilliseconds);
      const extraPerSecond = changing.bytesSentPerSecond +
        changing.bytesReceivedPerSecond - atRest.bytesSentPerSecond -
        atRest.bytesReceivedPerSecond;
      return {
        label,
        nodes: getNodeCount(plan),
        repeat,
        isBaseline,
        atRest,
        underLoad,
        convergence: times.flat(),
        documentBytes: Buffer.byteLength(
          createServiceChange(plan, deployment.vms, 1),
        ),
        bytesPerChange: extraPerSecond * changing.windowMilliseconds /
          millisecondsPerSecond / options.changes,
        storm,
      };
    },
  );
}
