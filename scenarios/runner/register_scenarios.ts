import test from "ava";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { parseFeature } from "./parse_feature.ts";
import { runScenario } from "./run_scenario.ts";
import type { StepLibrary } from "./step_library.ts";

const folder = "scenarios";

/** Registers a test for each scenario in the feature files; every test has its own context. */
export function registerScenarios<Context>(
  files: readonly string[],
  options: {
    readonly library: StepLibrary<Context>;
    readonly createContext: () => Context;
  },
): void {
  const { library, createContext } = options;
  files
    .flatMap((file) =>
      parseFeature(readFileSync(join(folder, file), "utf8"), file)
    )
    .forEach((scenario) =>
      test(
        scenario.name,
        (assert) =>
          runScenario(scenario, { context: createContext(), library, assert }),
      )
    );
}
