/** A step of a scenario. */
export interface ScenarioStep {
  readonly text: string;
  /** The rows of the step's table; empty if it has none. */
  readonly rows: readonly (readonly string[])[];
  /** The line of the scenario in the feature file; 0 if it is unknown. */
  readonly line: number;
}
