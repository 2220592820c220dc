/**
 * Runs the formatter, the linter and every test, and closes with the line
 * `N passed, N failed`. Tests that KNOWN-RED.txt lists are printed and do not
 * fail the run.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import process from "node:process";
import type { CheckStep } from "./check_step.ts";
import { parseKnownRed } from "./parse_known_red.ts";
import { parseTestReport } from "./parse_test_report.ts";
import { runStep } from "./run_step.ts";

const knownRedFile = "KNOWN-RED.txt";
const binaries = "node_modules/.bin";

const formatAndLint: readonly CheckStep[] = [
  {
    name: "format",
    program: `${binaries}/deno`,
    parameters: ["fmt", "--check"],
  },
  { name: "lint", program: `${binaries}/deno`, parameters: ["lint"] },
];
const tests: CheckStep = {
  name: "tests and scenarios",
  program: `${binaries}/ava`,
  parameters: ["--tap"],
};

function runChecks(): number {
  const steps = formatAndLint.map((step) => ({ step, ...runStep(step) }));
  const testRun = runStep(tests);
  const report = parseTestReport(testRun.output);
  const knownRed = existsSync(knownRedFile)
    ? parseKnownRed(readFileSync(knownRedFile, "utf8"))
    : [];
  const isKnownRed = (title: string) =>
    knownRed.some((entry) => entry.title === title);
  const expected = report.failed.filter(isKnownRed);
  const unexpected = report.failed.filter((title) => !isKnownRed(title));
  const runnerFailed = !report.complete || report.passed.length === 0 ||
    (!testRun.passed && report.failed.length === 0);
  const failedSteps = steps.filter((step) => !step.passed).map((step) =>
    step.step.name
  );

  expected.forEach((title) => process.stdout.write(`known red: ${title}\n`));
  knownRed
    .filter((entry) => !report.failed.includes(entry.title))
    .forEach((entry) =>
      process.stdout.write(`known red, but not failing now: ${entry.title}\n`)
    );
  unexpected.forEach((title) => process.stdout.write(`failed: ${title}\n`));
  failedSteps.forEach((name) => process.stdout.write(`failed: ${name}\n`));
  if (runnerFailed) {
    process.stdout.write("failed: the test runner did not come to its end\n");
  }

  const passed = report.passed.length + steps.length - failedSteps.length;
  const failed = unexpected.length + failedSteps.length +
    (runnerFailed ? 1 : 0);
  process.stdout.write(`${passed} passed, ${failed} failed\n`);
  return failed === 0 ? 0 : 1;
}

process.exitCode = runChecks();
