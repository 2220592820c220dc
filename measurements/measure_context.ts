/** Options of one run of a measure. */
export interface MeasureContext {
  /** Whether to run in reduced size. */
  readonly quick: boolean;
  /** Seed of the random numbers. */
  readonly seed: number;
  /** How often a measure that runs processes repeats its runs. */
  readonly repeats: number;
  /** Prints a progress message. */
  readonly reportProgress: (message: string) => void;
}
