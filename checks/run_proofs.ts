/**
 * Runs all tests and prints, for each point that must always hold and each
 * failure, the verdict of the tests that carry their tag.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { findStrayTags } from "./find_stray_tags.ts";
import { formatProofTable } from "./format_proof_table.ts";
import { evaluateProofRows } from "./evaluate_proof_rows.ts";
import { parseProofRows } from "./parse_proof_rows.ts";
import { parseTestReport } from "./parse_test_report.ts";
import { ProofVerdict } from "./proof_verdict.ts";

const usage = `Usage: npm run proofs -- [--json]

Runs all tests and prints a table with the verdict for each point and failure:
proved, red (a test failed) or not proved (no test ran).

  --json  print one line of JSON instead of the table
  --help  print this text

Exit status: 0 if no verdict is red, 1 if a test failed, a tag matches no row or
the run did not complete, 2 for invalid arguments.
`;
const rowsFile = "checks/proof_points.json";
const testRunner = "node_modules/.bin/ava";
const outputBytesMaximum = 64 * 1024 * 1024;
const usageExitStatus = 2;

function runProofs(json: boolean): number {
  const rows = parseProofRows(readFileSync(rowsFile, "utf8"));
  process.stderr.write("Running all tests\n");
  const run = spawnSync(testRunner, ["--tap"], {
    encoding: "utf8",
    maxBuffer: outputBytesMaximum,
  });
  const report = parseTestReport(run.stdout);
  const titles = [...report.passed, ...report.failed];
  const evaluatedRows = evaluateProofRows(rows, report);
  const strayTags = findStrayTags(rows, titles);
  const isTagged = (title: string) => title.includes("[point ");
  const passed = report.passed.filter(isTagged).length;
  const failed = report.failed.filter(isTagged).length;
  const notProved =
    evaluatedRows.filter((row) => row.verdict === ProofVerdict.NotProved)
      .length;
  const runnerFailed = !report.complete ||
    (run.status !== 0 && report.failed.length === 0);
  if (json) {
    const result = {
      rows: evaluatedRows,
      strayTags,
      passed,
      failed,
      notProved,
    };
    process.stdout.write(`${JSON.stringify(result)}\n`);
  } else {
    process.stdout.write(`${formatProofTable(evaluatedRows)}\n`);
    report.failed.filter(isTagged).forEach((title) =>
      process.stdout.write(`red: ${title}\n`)
    );
    process.stdout.write(`${notProved} rows not proved\n`);
    process.stdout.write(`${passed} passed, ${failed} failed\n`);
  }
  strayTags.forEach((tag) =>
    process.stderr.write(`The tag "${tag}" matches no row of "${rowsFile}"\n`)
  );
  if (runnerFailed) {
    process.stderr.write(`The test runner did not complete\n`);
    process.stderr.write(run.stderr);
  }
  return failed > 0 || runnerFailed || strayTags.length > 0 ? 1 : 0;
}

function main(): number {
  try {
    const { values } = parseArgs({
      options: {
        json: { type: "boolean", default: false },
        help: { type: "boolean", default: false },
      },
    });
    if (values.help) {
      process.stdout.write(usage);
      return 0;
    }
    return runProofs(values.json);
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : ""}\n`);
    return usageExitStatus;
  }
}

process.exitCode = main();
