/**
 * Runs soaks: `--seed N` for the first seed, `--runs N`, `--vms N`,
 * `--seconds N`. Prints one line for each seed, which contains the broken
 * promises, and then the last lines of the nodes' output if there are any.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { runSoak } from "./run_soak.ts";

const usage =
  `Usage: npm run soak -- [--seed N] [--runs N] [--vms N] [--seconds N]

Starts real nodes as separate processes, injects faults from outside, and checks
the promises against what callers and backend servers observe.

  --seed N      first seed (1)
  --runs N      number of seeds, run one after the other (1)
  --vms N       number of VMs, with one node each (6)
  --seconds N   duration of the traffic (15)
`;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    runs: { type: "string", default: "1" },
    vms: { type: "string", default: "6" },
    seconds: { type: "string", default: "15" },
    "base-port": { type: "string", default: "18300" },
    help: { type: "boolean", short: "h" },
  },
});

async function main(): Promise<void> {
  if (values.help === true) {
    process.stdout.write(usage);
    return;
  }
  const seeds = Array.from(
    { length: Number(values.runs) },
    (_, index) => Number(values.seed) + index,
  );
  let violationCount = 0;
  for (const seed of seeds) {
    const report = await runSoak({
      seed,
      vms: Number(values.vms),
      seconds: Number(values.seconds),
      reusesAddresses: true,
      program: "dist/platform/main.js",
      basePort: Number(values["base-port"]),
    });
    violationCount += report.violations.length;
    const { logs, faults, ...summary } = report;
    process.stdout.write(
      `${JSON.stringify({ ...summary, faults: faults.length })}\n`,
    );
    logs.forEach((text) => process.stdout.write(`  ${text}\n`));
  }
  process.exitCode = violationCount === 0 ? 0 : 1;
}

await main();
