import type { FittedLine } from "./fitted_line.ts";

/** Fits a straight line to at least two points by least squares; its slope is 0 if all sizes are equal. */
export function fitLine(
  points: readonly { readonly size: number; readonly value: number }[],
): FittedLine {
  const meanSize = getMean(points.map((point) => point.size));
  const meanValue = getMean(points.map((point) => point.value));
  const covariance = getMean(
    points.map((point) => (point.size - meanSize) * (point.value - meanValue)),
  );
  const variance = getMean(
    points.map((point) => (point.size - meanSize) ** 2),
  );
  const perUnit = variance === 0 ? 0 : covariance / variance;
  const base = meanValue - perUnit * meanSize;
  const deviations = points.map((point) =>
    point.value === 0
      ? 0
      : Math.abs(base + perUnit * point.size - point.value) / point.value
  );
  return { base, perUnit, largestDeviation: Math.max(0, ...deviations) };
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
