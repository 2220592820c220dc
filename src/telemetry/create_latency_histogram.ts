import type { Histogram } from "hdr-histogram-js";
// The main module also loads the log writers, which is slow.
import { build } from "hdr-histogram-js/dist/HistogramBuilder.js";

/** Longest latency that a histogram can record: one hour. */
const trackableMicrosecondsMaximum = 3_600_000_000;

/** Creates a histogram of latencies in microseconds. */
export function createLatencyHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: trackableMicrosecondsMaximum,
    numberOfSignificantValueDigits: 2,
    autoResize: true,
  });
}
