import type { ScenarioStep } from "./scenario_step.ts";

/** One scenario of a feature file. */
export interface Scenario {
  /** Unique over all files; carries the tag of the proof rows, such as `[point 8: owner dead]`. */
  readonly name: string;
  readonly steps: readonly ScenarioStep[];
}
