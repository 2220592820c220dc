/**
 * Runs a deployment as separate processes on loopback, publishes changes,
 * injects failures, and prints what its callers received.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { boloFestaSulPlan } from "../deployment/bolo_festa_sul_plan.ts";
import type { Deployment } from "../deployment/deployment.ts";
import type { DeploymentPlan } from "../deployment/deployment_plan.ts";
import { koloretePlan } from "../deployment/kolorete_plan.ts";
import { startReadyDeployment } from "../deployment/start_ready_deployment.ts";
import { createDemoTable } from "./create_demo_table.ts";
import type { DemoResult } from "./demo_result.ts";
import { runDemo } from "./run_demo.ts";

const usage = `Usage: npm run demo -- [--deployment NAME] [--json]

Starts a deployment as separate processes on loopback, publishes changes, takes
an availability zone out, stops nodes, and prints what the callers received.

  --deployment NAME  bolo-festa-sul (the default) or kolorete
  --json             write the result to standard output as one line of JSON and the table to standard error
  --help             print this text

Exit status: 0 success, 1 a wrong answer, a call that ran twice or a failed step,
2 invalid arguments.
`;
const plans: readonly DeploymentPlan[] = [boloFestaSulPlan, koloretePlan];
const failureExitStatus = 1;
const usageExitStatus = 2;

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: {
      deployment: { type: "string", default: boloFestaSulPlan.name },
      json: { type: "boolean", default: false },
      help: { type: "boolean", default: false },
    },
  });
  if (values.help) {
    process.stdout.write(usage);
    return 0;
  }
  const plan = plans.find((candidate) => candidate.name === values.deployment);
  if (plan === undefined) {
    const allowed = plans.map((knownPlan) => `"${knownPlan.name}"`).join(", ");
    process.stderr.write(
      `Deployment "${values.deployment}" is unknown; allowed: ${allowed}\n`,
    );
    return usageExitStatus;
  }
  return await runAndReport(plan, values.json);
}

async function runAndReport(
  plan: DeploymentPlan,
  json: boolean,
): Promise<number> {
  const output = json ? process.stderr : process.stdout;
  const table = createDemoTable((text) => output.write(text));
  let deployment: Deployment | undefined;
  try {
    deployment = await startReadyDeployment(plan);
    const result = await runDemo(plan, deployment, table);
    Object.entries(result).forEach(([name, value]) =>
      table.addRow(name, String(value))
    );
    if (json) {
      process.stdout.write(`${JSON.stringify(result)}\n`);
    }
    return hasPassed(result) ? 0 : failureExitStatus;
  } finally {
    await deployment?.end();
  }
}

function hasPassed(result: DemoResult): boolean {
  return result.wrong === 0 && result.ranTwice === 0;
}

process.once("SIGINT", () => process.exit(failureExitStatus));
process.once("SIGTERM", () => process.exit(failureExitStatus));
main().then(
  (status) => {
    process.exitCode = status;
  },
  (error: Error & { code?: string }) => {
    process.stderr.write(`${error.message}\n`);
    process.exitCode = error.code?.startsWith("ERR_PARSE_ARGS") === true
      ? usageExitStatus
      : failureExitStatus;
  },
);
