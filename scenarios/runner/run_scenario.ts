import type { ExecutionContext } from "ava";
import type { Scenario } from "./scenario.ts";
import type { StepLibrary } from "./step_library.ts";

/** Runs the steps of a scenario in order; a step without a matching definition fails the scenario. */
export async function runScenario<Context>(
  scenario: Scenario,
  options: {
    readonly context: Context;
    readonly library: StepLibrary<Context>;
    readonly assert: ExecutionContext;
  },
): Promise<void> {
  const { context, library, assert } = options;
  await scenario.steps.reduce(async (before, step) => {
    await before;
    const run = library.find(step);
    if (run === undefined) {
      assert.fail(`No step definition matches "${step.text}"`);
      return;
    }
    assert.log(step.text);
    await run(context, assert);
  }, Promise.resolve());
}
