import type { ScenarioStep } from "./scenario_step.ts";

/** A scenario of a feature file. */
export interface Scenario {
  /** Unique across all feature files; begins with the tags of its proof rows, such as `[point 8: owner dead]`. */
  readonly name: string;
  readonly steps: readonly ScenarioStep[];
}
