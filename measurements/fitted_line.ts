/** A straight line fitted to measured points. */
export interface FittedLine {
  /** The value at 0. */
  readonly base: number;
  /** Slope of the line. */
  readonly perUnit: number;
  /** Largest vertical distance of a point from the line, as a fraction of the point's value. */
  readonly largestDeviation: number;
}
