/** A service that a route sends calls to. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the route's calls, relative to the sum of all weights of the route. */
  readonly weight: number;
}
