/** One service that a route sends requests to. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the route's requests, in proportion to the sum of all weights. */
  readonly weight: number;
}
