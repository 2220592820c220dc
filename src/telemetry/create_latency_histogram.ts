import { build, type Histogram } from "hdr-histogram-js";

/** Longest time that the histograms tell apart, in microseconds. */
const longestMicroseconds = 3_600_000_000;

/** Creates a histogram of times in microseconds. */
export function createLatencyHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: longestMicroseconds,
    numberOfSignificantValueDigits: 2,
    autoResize: true,
  });
}
