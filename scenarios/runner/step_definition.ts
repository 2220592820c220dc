import type { ExecutionContext } from "ava";
import type { ScenarioStep } from "./scenario_step.ts";

/** What runs a step whose text fits a Cucumber expression. */
export interface StepDefinition<Context> {
  readonly expression: string;
  readonly run: (
    context: Context,
    match: {
      /** The values of the expression's parameters, in order. */
      readonly values: readonly (string | number)[];
      readonly step: ScenarioStep;
      readonly assert: ExecutionContext;
    },
  ) => void | Promise<void>;
}
