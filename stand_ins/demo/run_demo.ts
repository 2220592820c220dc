import type { BackendServerRuns } from "../deployment/backend_server_runs.ts";
import type { BlackBoxObservations } from "../deployment/black_box_observations.ts";
import type { ConfigurationChange } from "../deployment/configuration_change.ts";
import type { Deployment } from "../deployment/deployment.ts";
import type { DeploymentPlan } from "../deployment/deployment_plan.ts";
import type { DeploymentVm } from "../deployment/deployment_vm.ts";
import { expectValue } from "../deployment/expect_value.ts";
import { collectObservations } from "../deployment/collect_observations.ts";
import { loopback } from "../deployment/loopback.ts";
import { delay } from "../deployment/delay.ts";
import { waitUntil } from "../deployment/wait_until.ts";
import { awaitConvergence } from "../deployment/await_convergence.ts";
import type { DemoResult } from "./demo_result.ts";
import type { DemoTable } from "./demo_table.ts";
import { getVersionsInForce } from "../deployment/get_versions_in_force.ts";

const convergenceTimeoutMilliseconds = 11_000;
const settlingMilliseconds = 1500;
/** Settings of callers that abandon most of their calls early. */
const abandoningCallers = {
  abandonShare: 0.7,
  abandonMilliseconds: [1, 20] as [number, number],
};
const shutdownTimeoutMilliseconds = 12_000;
const invalidVersionNumber = 3;

/** Runs the demo's steps on a started deployment while callers send load; rejects if a step fails. */
export async function runDemo(
  plan: DeploymentPlan,
  deployment: Deployment,
  table: DemoTable,
): Promise<DemoResult> {
  const convergences: number[] = [];
  const badVersionAppliedBy = new Set<string>();
  let liveVms = deployment.vms;

  const publishAndAwait = async (step: string, change: ConfigurationChange) => {
    const acceptedAt = await deployment.publish(change);
    const { number } = change;
    const deadline = acceptedAt + convergenceTimeoutMilliseconds;
    const elapsedMilliseconds = expectValue(
      await awaitConvergence(deployment, {
        vms: liveVms,
        number,
        acceptedAt,
        deadline,
      }),
      `Version ${number} was not in force on every node within ${convergenceTimeoutMilliseconds} ms`,
    );
    convergences.push(elapsedMilliseconds);
    table.addRow(
      step,
      `in force on ${liveVms.length} nodes after ${elapsedMilliseconds} ms`,
    );
  };
  // Always resolves with false, so that `waitUntil` polls until its deadline.
  const recordInvalidVersion = async () => {
    const versions = await getVersionsInForce(deployment, liveVms);
    versions.forEach((version, vm) => {
      if (version.number === invalidVersionNumber) {
        badVersionAppliedBy.add(vm);
      }
    });
    return false;
  };
  const getRunsOf = (vms: readonly DeploymentVm[]) =>
    Promise.all(vms.map(deployment.getRuns));

  table.addRow("start", `${liveVms.length} nodes ready`);
  const caller = deployment.startCaller(abandoningCallers);
  await delay(settlingMilliseconds);
  await publishAndAwait("publish a change", {
    number: 2,
    retryBudgetPercent: 15,
  });

  await deployment.publish({
    number: invalidVersionNumber,
    unknownService: "service-that-is-not-there",
  });
  await waitUntil(recordInvalidVersion, Date.now() + settlingMilliseconds);
  table.addRow(
    "publish an invalid version",
    `in force on ${badVersionAppliedBy.size} nodes`,
  );

  const zone = plan.zones[1] ?? "";
  const vmsInZone = liveVms.filter((vm) => vm.zone === zone);
  await publishAndAwait(`take zone ${zone} out`, {
    number: 4,
    zonesTakenOut: [zone],
  });
  await delay(settlingMilliseconds);
  const begunBefore = sumBegun(await getRunsOf(vmsInZone));
  await delay(settlingMilliseconds);
  const begun = sumBegun(await getRunsOf(vmsInZone)) - begunBefore;
  table.addRow(`zone ${zone} is taken out`, `${begun} calls started in it`);
  await publishAndAwait(`return zone ${zone}`, { number: 5 });
  await delay(settlingMilliseconds);

  const [stopped, killed] = [liveVms[1]!, liveVms.at(-1)!];
  const stoppedNode = deployment.getNode(stopped);
  await deployment.publishVmList(liveVms, [stopped]);
  stoppedNode.process.kill("SIGTERM");
  const status = await withTimeout(
    stoppedNode.ended,
    shutdownTimeoutMilliseconds,
  );
  expectValue(status, `Node "${stopped.vm}" did not exit after SIGTERM`);
  liveVms = liveVms.filter((vm) => vm !== stopped);
  table.addRow(`SIGTERM to ${stopped.vm}`, `exited with status ${status}`);

  deployment.getNode(killed).process.kill("SIGKILL");
  liveVms = liveVms.filter((vm) => vm !== killed);
  table.addRow(`SIGKILL to ${killed.vm}`, "killed");
  await delay(settlingMilliseconds);
  await deployment.publishVmList(liveVms);
  await publishAndAwait("publish another change", {
    number: 6,
    retryBudgetPercent: 10,
  });
  await delay(settlingMilliseconds);

  const observations = await collectObservations(deployment, caller);
  const cutByShutdown =
    observations.report.cutByNode[`${loopback}:${stopped.callersPort}`] ?? 0;
  const versions = await getVersionsInForce(deployment, liveVms);
  const counters = await deployment.getPlatformCounters();
  return {
    ...getEndings(observations, cutByShutdown),
    cutByShutdown,
    convergenceMilliseconds: Math.max(...convergences),
    badVersionAppliedBy: badVersionAppliedBy.size,
    versionsInForce: [
      ...new Set(
        liveVms.map((vm) => {
          const version = versions.get(vm.vm);
          return version === undefined
            ? `none on ${vm.vm}`
            : `${version.number} ${version.digest}`;
        }),
      ),
    ],
    platformReads: counters.reads,
  };
}

function getEndings(observations: BlackBoxObservations, cutByShutdown: number) {
  const { report, falseRefusals, ranTwice } = observations;
  return {
    sent: report.sent,
    whole: report.whole,
    notRun: report.notRun - falseRefusals,
    unknown: report.unknown + report.cut - cutByShutdown,
    abandoned: report.abandoned,
    wrong: observations.wrong + falseRefusals,
    ranTwice,
  };
}

function sumBegun(runs: readonly BackendServerRuns[]): number {
  return runs.reduce((sum, server) => sum + server.begun, 0);
}

function withTimeout<Value>(
  promise: Promise<Value>,
  milliseconds: number,
): Promise<Value | undefined> {
  return Promise.race([promise, delay(milliseconds)]);
}
