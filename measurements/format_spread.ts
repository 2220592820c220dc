import { formatNumber } from "./format_number.ts";

/** Formats the median of repeated values and, in brackets, the lowest and the highest; a dash if there are none. */
export function formatSpread(values: readonly number[]): string {
  if (values.length === 0) {
    return "–";
  }
  const sorted = [...values].sort((left, right) => left - right);
  const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? Number.NaN;
  const lowest = sorted.at(0) ?? Number.NaN;
  const highest = sorted.at(-1) ?? Number.NaN;
  return `${formatNumber(median)} (${formatNumber(lowest)} to ${
    formatNumber(highest)
  })`;
}
