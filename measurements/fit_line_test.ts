import test from "ava";
import { fitLine } from "./fit_line.ts";

test("fitLine() finds the line through collinear points", (t) => {
  const line = fitLine([
    { size: 12, value: 34 },
    { size: 24, value: 58 },
    { size: 96, value: 202 },
  ]);
  t.true(Math.abs(line.perUnit - 2) < 1e-9);
  t.true(Math.abs(line.base - 10) < 1e-9);
  t.true(line.largestDeviation < 1e-9);
});

test("fitLine() returns the largest relative deviation of a point", (t) => {
  const line = fitLine([
    { size: 1, value: 1 },
    { size: 2, value: 4 },
    { size: 3, value: 1 },
  ]);
  t.true(line.largestDeviation > 0.4);
});
