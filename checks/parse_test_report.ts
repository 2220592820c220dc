import type { TestReport } from "./test_report.ts";

const resultLine = /^(not ok|ok) \d+ - (.*)$/;
const planLine = /^1\.\.\d+$/;
const passedWord = "ok";

/** Reads the output of a test runner in the Test Anything Protocol. */
export function parseTestReport(output: string): TestReport {
  const lines = output.split("\n");
  const results = lines
    .map((line) => resultLine.exec(line))
    .filter((found) => found !== null);
  return {
    passed: results.filter((found) => found[1] === passedWord).map((found) =>
      found[2] ?? ""
    ),
    failed: results.filter((found) => found[1] !== passedWord).map((found) =>
      found[2] ?? ""
    ),
    complete: lines.some((line) => planLine.test(line)),
  };
}
