import test from "ava";
import { fitSlope } from "./fit_slope.ts";

test("fitSlope() finds the line through points on it", (t) => {
  const slope = fitSlope([
    { size: 12, value: 34 },
    { size: 24, value: 58 },
    { size: 96, value: 202 },
  ]);
  t.true(Math.abs(slope.perUnit - 2) < 1e-9);
  t.true(Math.abs(slope.base - 10) < 1e-9);
  t.true(slope.largestDeviation < 1e-9);
});

test("fitSlope() says how far a point is from the line", (t) => {
  const slope = fitSlope([
    { size: 1, value: 1 },
    { size: 2, value: 4 },
    { size: 3, value: 1 },
  ]);
  t.true(slope.largestDeviation > 0.4);
});
