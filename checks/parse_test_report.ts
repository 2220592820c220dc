import type { TestReport } from "./test_report.ts";

const resultLinePattern = /^(not ok|ok) \d+ - (.*)$/;
const planLinePattern = /^1\.\.\d+$/;
const passedStatus = "ok";

/** Parses the output of a test runner in the Test Anything Protocol (TAP). */
export function parseTestReport(output: string): TestReport {
  const lines = output.split("\n");
  const results = lines
    .map((line) => resultLinePattern.exec(line))
    .filter((match) => match !== null);
  return {
    passed: results.filter((match) => match[1] === passedStatus).map((match) =>
      match[2] ?? ""
    ),
    failed: results.filter((match) => match[1] !== passedStatus).map((match) =>
      match[2] ?? ""
    ),
    complete: lines.some((line) => planLinePattern.test(line)),
  };
}
