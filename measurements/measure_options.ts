/** The parsed command line of the measurements. */
export interface MeasureOptions {
  /** Run in reduced size, in less than a minute overall. */
  readonly quick: boolean;
  /** Print the results as one JSON line at the end. */
  readonly json: boolean;
  /** Print the help text only. */
  readonly help: boolean;
  /** Seed of the random numbers. */
  readonly seed: number;
  /** How often measures that run processes repeat their runs. */
  readonly repeats: number;
  /** Names of the measures to run; empty for all. */
  readonly only: readonly string[];
  /** Folder for the result pages; undefined to write none. */
  readonly output: string | undefined;
}
