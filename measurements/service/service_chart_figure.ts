import type { ServiceShares } from "./service_shares.ts";

/** A figure that the charts of the service draw second by second. */
export interface ServiceChartFigure {
  /** The end of the file name. */
  readonly suffix: string;
  readonly title: string;
  readonly unit: string;
  readonly getValue: (share: ServiceShares) => number;
}
