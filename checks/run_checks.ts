/**
 * Runs the formatter, the linter and all tests, and prints `N passed, N failed`
 * as the last line. Failures of the tests that KNOWN-RED.txt lists are printed
 * but do not fail the run.
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
const binariesFolder = "node_modules/.bin";

const formatAndLint: readonly CheckStep[] = [
  {
    name: "format",
    program: `${binariesFolder}/deno`,
    parameters: ["fmt", "--check"],
  },
  { name: "lint", program: `${binariesFolder}/deno`, parameters: ["lint"] },
];
const allTests = "dist/**/*_test.js";
/** Tests that wait for real processes or sockets. They run one file at a time, and no other tests run meanwhile. */
const realTimeTests = [
  "dist/scenarios/processes_test.js",
  "dist/src/daemon/**/*_test.js",
  "dist/src/mesh/address_holder_test.js",
  "dist/src/mesh/create_offer_connection_test.js",
  "dist/src/mesh/offer_connection*_test.js",
  "dist/src/mesh/offer_to_node_test.js",
  "dist/src/mesh/improper_answer_test.js",
  "dist/src/mesh/improper_reply_test.js",
  "dist/src/mesh/late_answer_copies_test.js",
  "dist/src/mesh/pipelined_requests_test.js",
  "dist/src/mesh/repeated_offer_test.js",
  "dist/src/mesh/reset_answer_test.js",
  "dist/src/mesh/reused_address_test.js",
  "dist/src/mesh/endless_*_test.js",
  "dist/src/mesh/api_keys_fleet_test.js",
  "dist/src/mesh/query_withdrawals_test.js",
  "dist/src/mesh/crashing_request_test.js",
  "dist/src/mesh/create_neighbour_feeds_test.js",
  "dist/src/mesh/serve_offer_test.js",
  "dist/src/mesh/silent_backend_server_test.js",
  "dist/src/mesh/source_era_start_test.js",
  "dist/src/mesh/quota_fleet_test.js",
  "dist/src/mesh/start_mesh_node_test.js",
  "dist/src/mesh/stated_*_test.js",
  "dist/src/mesh/stop_*_test.js",
  "dist/src/mesh/unconfirmed_rejection_test.js",
  "dist/src/mesh/unframed_answer_test.js",
  "dist/platform/create_store_client_test.js",
  "dist/platform/endless_store_bytes_test.js",
  "dist/platform/main_test.js",
  "dist/platform/slow_store_link_test.js",
  "dist/stand_ins/soak/run_soak_test.js",
];
const testSteps: readonly CheckStep[] = [
  {
    name: "tests and scenarios in virtual time",
    program: `${binariesFolder}/ava`,
    parameters: [
      "--tap",
      allTests,
      ...realTimeTests.map((pattern) => `!${pattern}`),
    ],
  },
  {
    name: "tests with real processes and sockets",
    program: `${binariesFolder}/ava`,
    parameters: ["--tap", "--concurrency", "1", ...realTimeTests],
  },
];

function runChecks(): number {
  const stepResults = formatAndLint.map((step) => ({ step, ...runStep(step) }));
  const reports = testSteps.map((step) => {
    const run = runStep(step);
    return { step, run, report: parseTestReport(run.output) };
  });
  const passedTests = reports.flatMap(({ report }) => report.passed);
  const failedTests = reports.flatMap(({ report }) => report.failed);
  const knownRed = existsSync(knownRedFile)
    ? parseKnownRed(readFileSync(knownRedFile, "utf8"))
    : [];
  const isKnownRed = (title: string) =>
    knownRed.some((entry) => entry.title === title);
  const knownFailures = failedTests.filter(isKnownRed);
  const unexpectedFailures = failedTests.filter((title) => !isKnownRed(title));
  const incompleteRuns = reports.filter(({ run, report }) =>
    !report.complete || report.passed.length === 0 ||
    (!run.passed && report.failed.length === 0)
  );
  const failedSteps = stepResults.filter((step) => !step.passed).map((step) =>
    step.step.name
  );

  knownFailures.forEach((title) =>
    process.stdout.write(`known red: ${title}\n`)
  );
  knownRed
    .filter((entry) => !failedTests.includes(entry.title))
    .forEach((entry) =>
      process.stdout.write(`known red, but not failing now: ${entry.title}\n`)
    );
  unexpectedFailures.forEach((title) =>
    process.stdout.write(`failed: ${title}\n`)
  );
  failedSteps.forEach((name) => process.stdout.write(`failed: ${name}\n`));
  incompleteRuns.forEach(({ step }) =>
    process.stdout.write(`failed: ${step.name} did not come to their end\n`)
  );

  const passed = passedTests.length + stepResults.length - failedSteps.length;
  const failed = unexpectedFailures.length + failedSteps.length +
    incompleteRuns.length;
  process.stdout.write(`${passed} passed, ${failed} failed\n`);
  return failed === 0 ? 0 : 1;
}

process.exitCode = runChecks();
