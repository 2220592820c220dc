import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { plainNodeProgram } from "../fleet/plain_node_program.ts";
import { readProcessUsage } from "../fleet/read_process_usage.ts";
import { withDeployment } from "../fleet/with_deployment.ts";
import { wait } from "../wait.ts";
import { countKeyRuns } from "./count_key_runs.ts";
import { createServiceLoad } from "./create_service_load.ts";
import type { ServiceRun } from "./service_run.ts";
import type { ServiceTimeline } from "./service_timeline.ts";

const millisecondsPerSecond = 1000;
/** Calls that start in a zone within this duration after its take-out is published are not counted. */
const takeOutGraceMilliseconds = 3000;
const takenOutZoneIndex = 1;
const callerSeedStride = 1000;

/** Runs callers against a deployment while one zone is taken out and later returned with cold backend servers. */
export function runService(
  plan: DeploymentPlan,
  options: {
    readonly isBaseline: boolean;
    readonly repeat: number;
    readonly seed: number;
    readonly timeline: ServiceTimeline;
    /** Duration of the call load before the run begins. */
    readonly warmUpMilliseconds: number;
  },
): Promise<ServiceRun> {
  const { isBaseline, repeat, seed, timeline } = options;
  const load = createServiceLoad(plan);
  const deploymentOptions = {
    backendServer: {
      startsCold: false,
      workMilliseconds: [...load.workMilliseconds] as [number, number],
    },
    ...(isBaseline ? { nodeProgram: plainNodeProgram } : {}),
  };
  return withDeployment(plan, deploymentOptions, async (deployment) => {
    const zone = plan.zones[takenOutZoneIndex] ?? "";
    const zoneVms = deployment.vms.filter((vm) => vm.zone === zone);
    const startCaller = (milliseconds: number, callerSeed: number) =>
      deployment.startCaller({
        callsPerSecond: load.callsPerSecond,
        abandonShare: load.abandonShare,
        abandonMilliseconds: [...load.abandonMilliseconds] as [number, number],
        durationMilliseconds: milliseconds,
        seed: callerSeed,
      });
    await startCaller(options.warmUpMilliseconds, seed * callerSeedStride)
      .report;
    const processorMillisecondsBefore = readProcessorMilliseconds(deployment);
    const caller = startCaller(
      timeline.endSecond * millisecondsPerSecond,
      seed * callerSeedStride + repeat + 1,
    );
    await wait(timeline.outSecond * millisecondsPerSecond);
    await deployment.publish({ number: 2, zonesTakenOut: [zone] });
    await wait(takeOutGraceMilliseconds);
    const startedAfterGrace = await countStartedCalls(deployment, zoneVms);
    await wait(
      (timeline.returnSecond - timeline.outSecond) * millisecondsPerSecond -
        takeOutGraceMilliseconds,
    );
    const startedBeforeReturn = await countStartedCalls(deployment, zoneVms);
    await Promise.all(
      zoneVms.map((vm) => deployment.setBackendServerState(vm, { cold: true })),
    );
    await deployment.publish({ number: 3 });
    const report = await caller.report;
    const processorMilliseconds = readProcessorMilliseconds(deployment) -
      processorMillisecondsBefore;
    const runs = await Promise.all(
      deployment.vms.map((vm) => deployment.getRuns(vm)),
    );
    return {
      deployment: plan.name,
      isBaseline,
      repeat,
      timeline,
      buckets: report.buckets,
      reasons: report.reasons,
      processorMillisecondsPerCall: processorMilliseconds /
        Math.max(1, report.sent),
      held: report.held,
      begunInZoneTakenOut: startedBeforeReturn - startedAfterGrace,
      overloadEvents: getSum(runs.map((entry) => entry.overloadEvents)),
      falls: getSum(runs.map((entry) => entry.falls)),
      ...countKeyRuns(runs),
    };
  });
}

function readProcessorMilliseconds(deployment: Deployment): number {
  return getSum(
    deployment.vms.map((vm) =>
      readProcessUsage(deployment.getNode(vm)).processorMilliseconds
    ),
  );
}

async function countStartedCalls(
  deployment: Deployment,
  vms: readonly DeploymentVm[],
): Promise<number> {
  const runs = await Promise.all(vms.map((vm) => deployment.getRuns(vm)));
  return getSum(runs.map((entry) => entry.begun));
}

function getSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
