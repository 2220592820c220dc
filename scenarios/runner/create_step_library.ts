import {
  CucumberExpression,
  ParameterTypeRegistry,
} from "@cucumber/cucumber-expressions";
import type { StepDefinition } from "./step_definition.ts";
import type { StepLibrary } from "./step_library.ts";

/** Compiles the expressions of the definitions. */
export function createStepLibrary<World>(
  definitions: readonly StepDefinition<World>[],
): StepLibrary<World> {
  const registry = new ParameterTypeRegistry();
  const compiled = definitions.map((definition) => ({
    definition,
    expression: new CucumberExpression(definition.expression, registry),
  }));
  return {
    find(step) {
      const found = compiled.flatMap(({ definition, expression }) => {
        const match = expression.match(step.text);
        return match === null ? [] : [{ definition, match }];
      })[0];
      if (found === undefined) {
        return undefined;
      }
      const values = found.match.map((argument) =>
        argument.getValue<string | number>(null) ?? ""
      );
      return (world, assert) =>
        found.definition.run(world, { values, step, assert });
    },
  };
}
