import type { BackendServerRuns } from "../deployment/backend_server_runs.ts";
import type { BlackBoxFacts } from "../deployment/black_box_facts.ts";
import type { ConfigurationChange } from "../deployment/configuration_change.ts";
import type { Deployment } from "../deployment/deployment.ts";
import type { DeploymentPlan } from "../deployment/deployment_plan.ts";
import type { DeploymentVm } from "../deployment/deployment_vm.ts";
import { expectValue } from "../deployment/expect_value.ts";
import { gatherFacts } from "../deployment/gather_facts.ts";
import { loopback } from "../deployment/loopback.ts";
import { pause } from "../deployment/pause.ts";
import { waitUntil } from "../deployment/wait_until.ts";
import { awaitConvergence } from "../deployment/await_convergence.ts";
import type { DemoResult } from "./demo_result.ts";
import type { DemoTable } from "./demo_table.ts";
import { watchVersions } from "../deployment/watch_versions.ts";

const convergenceLimitMilliseconds = 11_000;
const settleMilliseconds = 1500;
/** Callers most of whom hang up early. */
const hastyCallers = {
  abandonShare: 0.7,
  abandonMilliseconds: [1, 20] as [number, number],
};
const shutdownMilliseconds = 12_000;
const badVersionNumber = 3;

/** Runs the steps of the demo against a started deployment, with callers all the while. */
export async function runDemo(
  plan: DeploymentPlan,
  deployment: Deployment,
  table: DemoTable,
): Promise<DemoResult> {
  const convergences: number[] = [];
  const badVersionAppliedBy = new Set<string>();
  let live = deployment.vms;

  const change = async (step: string, publication: ConfigurationChange) => {
    const acceptedAt = await deployment.publish(publication);
    const { number } = publication;
    const deadline = acceptedAt + convergenceLimitMilliseconds;
    const took = expectValue(
      await awaitConvergence(deployment, {
        vms: live,
        number,
        acceptedAt,
        deadline,
      }),
      `Version ${number} was not in force on every node within ${convergenceLimitMilliseconds} ms`,
    );
    convergences.push(took);
    table.row(step, `in force on ${live.length} nodes after ${took} ms`);
  };
  const noteBadVersion = async () => {
    const versions = await watchVersions(deployment, live);
    versions.forEach((version, vm) => {
      if (version.number === badVersionNumber) {
        badVersionAppliedBy.add(vm);
      }
    });
    return false;
  };
  const getRunsOf = (vms: readonly DeploymentVm[]) =>
    Promise.all(vms.map(deployment.getRuns));

  table.row("start", `${live.length} nodes ready`);
  const caller = deployment.startCaller(hastyCallers);
  await pause(settleMilliseconds);
  await change("publish a change", { number: 2, retryBudgetPercent: 15 });

  await deployment.publish({
    number: badVersionNumber,
    strayService: "service-that-is-not-there",
  });
  await waitUntil(noteBadVersion, Date.now() + settleMilliseconds);
  table.row(
    "publish a bad version",
    `in force on ${badVersionAppliedBy.size} nodes`,
  );

  const zone = plan.zones[1] ?? "";
  const inZone = live.filter((vm) => vm.zone === zone);
  await change(`take zone ${zone} out`, { number: 4, zonesTakenOut: [zone] });
  await pause(settleMilliseconds);
  const before = sumBegun(await getRunsOf(inZone));
  await pause(settleMilliseconds);
  const begun = sumBegun(await getRunsOf(inZone)) - before;
  table.row(`zone ${zone} is out`, `${begun} calls begun in it`);
  await change(`return zone ${zone}`, { number: 5 });
  await pause(settleMilliseconds);

  const [stopped, killed] = [live[1]!, live.at(-1)!];
  const stoppedNode = deployment.getNode(stopped);
  await deployment.listVms(live, [stopped]);
  stoppedNode.process.kill("SIGTERM");
  const status = await within(stoppedNode.ended, shutdownMilliseconds);
  expectValue(status, `Node "${stopped.vm}" did not end after SIGTERM`);
  live = live.filter((vm) => vm !== stopped);
  table.row(`SIGTERM to ${stopped.vm}`, `ended with status ${status}`);

  deployment.getNode(killed).process.kill("SIGKILL");
  live = live.filter((vm) => vm !== killed);
  table.row(`SIGKILL to ${killed.vm}`, "ended at once");
  await pause(settleMilliseconds);
  await deployment.listVms(live);
  await change("publish another change", { number: 6, retryBudgetPercent: 10 });
  await pause(settleMilliseconds);

  const facts = await gatherFacts(deployment, caller);
  const cutByShutdown =
    facts.report.cutByNode[`${loopback}:${stopped.callersPort}`] ?? 0;
  const versions = await watchVersions(deployment, live);
  const counters = await deployment.getPlatformCounters();
  return {
    ...getEndings(facts, cutByShutdown),
    cutByShutdown,
    convergenceMilliseconds: Math.max(...convergences),
    badVersionAppliedBy: badVersionAppliedBy.size,
    versionsInForce: [
      ...new Set(
        live.map((vm) => {
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

function getEndings(facts: BlackBoxFacts, cutByShutdown: number) {
  const { report, falseRefusals, ranTwice } = facts;
  return {
    sent: report.sent,
    whole: report.whole,
    notRun: report.notRun - falseRefusals,
    unknown: report.unknown + report.cut - cutByShutdown,
    abandoned: report.abandoned,
    wrong: facts.wrong + falseRefusals,
    ranTwice,
  };
}

function sumBegun(runs: readonly BackendServerRuns[]): number {
  return runs.reduce((sum, one) => sum + one.begun, 0);
}

function within<Value>(
  promise: Promise<Value>,
  milliseconds: number,
): Promise<Value | undefined> {
  return Promise.race([promise, pause(milliseconds)]);
}
