import type { SourceBounds } from "./source_bounds.ts";

/**
 * Fraction of the change bound after which a view is stale. Exceeds the time
 * between two source responses at a followed node (see `getSourceReadTiming`);
 * the rest is left for reading the source.
 */
const staleFraction = 0.7;

/** Returns the age, in milliseconds, from which a neighbour's view is stale and a node reads the source itself. */
export function getFeedStaleMilliseconds(bounds: SourceBounds): number {
  return bounds.changeMilliseconds * staleFraction;
}
