import type { Spread } from "./spread.ts";

/** Returns the mean and the range of `values`, of which there is at least one. */
export function createSpread(values: readonly number[]): Spread {
  return {
    mean: values.reduce((sum, value) => sum + value, 0) / values.length,
    least: Math.min(...values),
    most: Math.max(...values),
  };
}
