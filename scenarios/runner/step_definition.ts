import type { ExecutionContext } from "ava";
import type { ScenarioStep } from "./scenario_step.ts";

/** What runs a step whose text fits a Cucumber expression. */
export interface StepDefinition<World> {
  readonly expression: string;
  readonly run: (
    world: World,
    match: {
      /** The values of the expression's parameters, in order. */
      readonly values: readonly (string | number)[];
      readonly step: ScenarioStep;
      readonly assert: ExecutionContext;
    },
  ) => void | Promise<void>;
}
