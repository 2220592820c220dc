import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import { wait } from "../wait.ts";
import { awaitVersionEverywhere } from "./await_version_everywhere.ts";
import { readFleetCounters } from "./read_fleet_counters.ts";
import { restartNodes } from "./restart_nodes.ts";
import { selectNodesToRestart } from "./select_nodes_to_restart.ts";
import type { RestartStormUsage } from "./restart_storm_usage.ts";

const firstVersionNumber = 1;

/** Restarts three quarters of the nodes together and resolves with the resources used until `windowMilliseconds` after their start. */
export async function runRestartStorm(
  deployment: Deployment,
  windowMilliseconds: number,
): Promise<RestartStormUsage> {
  const restartedVms = selectNodesToRestart(deployment.vms);
  const before = await deployment.getPlatformCounters();
  const startedAt = await restartNodes(deployment, restartedVms);
  const appliedInstants = await awaitVersionEverywhere(
    restartedVms,
    firstVersionNumber,
  );
  await wait(Math.max(0, startedAt + windowMilliseconds - Date.now()));
  const after = await readFleetCounters(deployment);
  const counters = await deployment.getPlatformCounters();
  const restartedStatuses = deployment.vms
    .map((vm, index) => ({ vm, node: after.nodes[index] }))
    .filter(({ vm }) => restartedVms.includes(vm))
    .flatMap(({ node }) => node === undefined ? [] : [node.status]);
  const bytes = restartedStatuses.map(({ distribution }) =>
    distribution.controlBytesSent + distribution.controlBytesReceived
  );
  const messages = restartedStatuses.map(({ distribution }) =>
    distribution.controlMessagesSent
  );
  return {
    restartedNodes: restartedVms.length,
    bytesPerNode: getSum(bytes) / restartedVms.length,
    messagesPerNode: getSum(messages) / restartedVms.length,
    highestBytes: Math.max(...bytes),
    platformReads: counters.reads - before.reads,
    peakReadsPerSecond: counters.peakReadsPerSecond,
    recoveryMilliseconds: Math.max(...appliedInstants) - startedAt,
  };
}

function getSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
