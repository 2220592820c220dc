import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import { wait } from "../wait.ts";
import { awaitVersionEverywhere } from "./await_version_everywhere.ts";
import { readFleet } from "./read_fleet.ts";
import { restartHerd } from "./restart_herd.ts";
import { selectHerd } from "./select_herd.ts";
import type { StormUse } from "./storm_use.ts";

const firstNumber = 1;

/** Restarts three quarters of the nodes at once and counts what they use until `windowMilliseconds` after their start. */
export async function runStorm(
  deployment: Deployment,
  windowMilliseconds: number,
): Promise<StormUse> {
  const herd = selectHerd(deployment.vms);
  const before = await deployment.getPlatformCounters();
  const startedAt = await restartHerd(deployment, herd);
  const applied = await awaitVersionEverywhere(herd, firstNumber);
  await wait(Math.max(0, startedAt + windowMilliseconds - Date.now()));
  const after = await readFleet(deployment);
  const counters = await deployment.getPlatformCounters();
  const restarted = deployment.vms
    .map((vm, index) => ({ vm, node: after.nodes[index] }))
    .filter(({ vm }) => herd.includes(vm))
    .flatMap(({ node }) => node === undefined ? [] : [node.report]);
  const bytes = restarted.map(({ distribution }) =>
    distribution.controlBytesSent + distribution.controlBytesReceived
  );
  const messages = restarted.map(({ distribution }) =>
    distribution.controlMessagesSent
  );
  return {
    restartedNodes: herd.length,
    bytesPerNode: getSum(bytes) / herd.length,
    messagesPerNode: getSum(messages) / herd.length,
    highestBytes: Math.max(...bytes),
    platformReads: counters.reads - before.reads,
    peakReadsPerSecond: counters.peakReadsPerSecond,
    recoveryMilliseconds: Math.max(...applied) - startedAt,
  };
}

function getSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
