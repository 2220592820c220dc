import test from "ava";
import { parseTestReport } from "./parse_test_report.ts";

test("parseTestReport() separates passed from failed tests", (t) => {
  const output =
    "TAP version 13\nok 1 - a › one\nnot ok 2 - b › two\n  ---\n1..2\n";
  t.deepEqual(parseTestReport(output), {
    passed: ["a › one"],
    failed: ["b › two"],
    complete: true,
  });
});

test("parseTestReport() reports a run without a plan line as incomplete", (t) => {
  t.false(parseTestReport("TAP version 13\nok 1 - a › one\n").complete);
});
