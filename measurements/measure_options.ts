/** What the command line of the measurements asks for. */
export interface MeasureOptions {
  /** Smaller runs that take less than a minute in all. */
  readonly quick: boolean;
  /** Print the results as one JSON line at the end. */
  readonly json: boolean;
  readonly help: boolean;
  readonly seed: number;
  /** How often runs of processes are repeated. */
  readonly repeats: number;
  /** Names of the measures to run; empty for all. */
  readonly only: readonly string[];
  /** Where result pages go; undefined writes none. */
  readonly output: string | undefined;
}
