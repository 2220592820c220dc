/** A straight line fitted to measured points. */
export interface FittedLine {
  /** The value at 0. */
  readonly base: number;
  /** The growth for each unit. */
  readonly perUnit: number;
  /** The largest distance of a point from the line, as a share of the point. */
  readonly largestDeviation: number;
}
