import test from "ava";
import { summarizeSamples } from "./summarize_samples.ts";

test("summarizeSamples() returns order statistics", (t) => {
  const samples = Array.from({ length: 100 }, (_, index) => index + 1);
  const summary = summarizeSamples(samples);
  t.is(summary.count, 100);
  t.is(summary.minimum, 1);
  t.is(summary.maximum, 100);
  t.true(Math.abs(summary.median - 50) <= 1);
  t.true(Math.abs(summary.percentile99 - 99) <= 1);
});
