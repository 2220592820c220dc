import type { ExecutionContext } from "ava";
import type { ScenarioStep } from "./scenario_step.ts";

/**
 * A Cucumber expression and the function that runs the steps that match it. The
 * steps of a scenario share a `Context`.
 */
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
