/** The reported quantiles, with their Prometheus labels and percentiles. */
export const latencyQuantiles = [
  { label: "0.5", percentile: 50 },
  { label: "0.9", percentile: 90 },
  { label: "0.99", percentile: 99 },
  { label: "0.999", percentile: 99.9 },
] as const;
