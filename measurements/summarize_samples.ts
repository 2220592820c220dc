import { build } from "hdr-histogram-js";
import type { SampleSummary } from "./sample_summary.ts";

const significantDigits = 3;
const stepsPerUnit = 1000;
const maximumUnits = 3_600_000;

/** Returns order statistics of non-negative samples, with a resolution of a thousandth of their unit. */
export function summarizeSamples(samples: readonly number[]): SampleSummary {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maximumUnits * stepsPerUnit,
    numberOfSignificantValueDigits: significantDigits,
  });
  samples.forEach((sample) =>
    histogram.recordValue(Math.max(0, Math.round(sample * stepsPerUnit)))
  );
  const getPercentile = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / stepsPerUnit;
  return {
    count: samples.length,
    minimum: samples.length === 0 ? 0 : Math.min(...samples),
    median: getPercentile(50),
    percentile99: getPercentile(99),
    maximum: samples.length === 0 ? 0 : Math.max(...samples),
  };
}
