import { Buffer } from "node:buffer";
import { wait } from "../wait.ts";
import { computeControlUsage } from "./compute_control_usage.ts";
import { createServiceChange } from "./create_service_change.ts";
import type { FleetCase } from "./fleet_case.ts";
import type { FleetRun } from "./fleet_run.ts";
import { getNodeCount } from "./get_node_count.ts";
import { plainNodeProgram } from "./plain_node_program.ts";
import { publishSequentially } from "./publish_sequentially.ts";
import { readFleetCounters } from "./read_fleet_counters.ts";
import { measureUsageUnderLoad } from "./measure_usage_under_load.ts";
import { runRestartStorm } from "./run_restart_storm.ts";
import { withDeployment } from "./with_deployment.ts";

const millisecondsPerSecond = 1000;

/** Starts a fleet and measures it at rest, under call load, while changes are published and in a restart storm. */
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
      const beforeRest = await readFleetCounters(deployment);
      await wait(options.restMilliseconds);
      const afterRest = await readFleetCounters(deployment);
      const atRest = computeControlUsage(beforeRest, afterRest);
      const underLoad = await measureUsageUnderLoad(deployment, {
        callsPerSecond: plan.callsPerSecond,
        milliseconds: options.restMilliseconds,
      });
      const beforeChanges = await readFleetCounters(deployment);
      const convergenceTimes = await publishSequentially(deployment, {
        plan,
        firstVersionNumber: 2,
        count: options.changes,
      });
      const afterChanges = await readFleetCounters(deployment);
      const duringChanges = computeControlUsage(beforeChanges, afterChanges);
      const storm = await runRestartStorm(
        deployment,
        options.stormMilliseconds,
      );
      const extraPerSecond = duringChanges.bytesSentPerSecond +
        duringChanges.bytesReceivedPerSecond - atRest.bytesSentPerSecond -
        atRest.bytesReceivedPerSecond;
      return {
        label,
        nodes: getNodeCount(plan),
        repeat,
        isBaseline,
        atRest,
        underLoad,
        convergence: convergenceTimes.flat(),
        documentBytes: Buffer.byteLength(
          createServiceChange(plan, deployment.vms, 1),
        ),
        bytesPerChange: extraPerSecond * duringChanges.windowMilliseconds /
          millisecondsPerSecond / options.changes,
        storm,
      };
    },
  );
}
