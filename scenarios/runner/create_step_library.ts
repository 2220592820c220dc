import {
  CucumberExpression,
  ParameterTypeRegistry,
} from "@cucumber/cucumber-expressions";
import type { StepDefinition } from "./step_definition.ts";
import type { StepLibrary } from "./step_library.ts";

/** Compiles the Cucumber expressions of the step definitions. */
export function createStepLibrary<Context>(
  definitions: readonly StepDefinition<Context>[],
): StepLibrary<Context> {
  const registry = new ParameterTypeRegistry();
  const compiled = definitions.map((definition) => ({
    definition,
    expression: new CucumberExpression(definition.expression, registry),
  }));
  return {
    find(step) {
      const candidate = compiled.flatMap(({ definition, expression }) => {
        const match = expression.match(step.text);
        return match === null ? [] : [{ definition, match }];
      })[0];
      if (candidate === undefined) {
        return undefined;
      }
      const values = candidate.match.map((argument) =>
        argument.getValue<string | number>(null) ?? ""
      );
      return (context, assert) =>
        candidate.definition.run(context, { values, step, assert });
    },
  };
}
