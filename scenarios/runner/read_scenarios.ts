import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { parseFeature } from "./parse_feature.ts";
import type { Scenario } from "./scenario.ts";

const featureEnding = ".feature";

/** Returns every scenario of the feature files in one folder, in the order of their names. */
export function readScenarios(folder: string): readonly Scenario[] {
  return readdirSync(folder)
    .filter((file) => file.endsWith(featureEnding))
    .sort()
    .flatMap((file) =>
      parseFeature(readFileSync(join(folder, file), "utf8"), file)
    );
}
