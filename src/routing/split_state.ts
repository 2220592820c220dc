/** The credits of a route's targets between two choices, by service. */
export type SplitState = Map<string, number>;
