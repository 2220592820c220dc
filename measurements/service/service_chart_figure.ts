import type { ServiceShares } from "./service_shares.ts";

/** A figure that the service charts show per second. */
export interface ServiceChartFigure {
  /** Last part of the chart's file name. */
  readonly suffix: string;
  readonly title: string;
  readonly unit: string;
  readonly getValue: (share: ServiceShares) => number;
}
