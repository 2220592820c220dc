/** The round robin credits of a route's targets in calls, by service name. Mutable. */
export type SplitState = Map<string, number>;
