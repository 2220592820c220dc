/** One step of a scenario, with its table where it has one. */
export interface ScenarioStep {
  readonly text: string;
  /** The rows of the step's table; empty without one. */
  readonly rows: readonly (readonly string[])[];
  /** The line in the feature file. */
  readonly line: number;
}
