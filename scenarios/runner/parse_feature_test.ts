import test from "ava";
import { createStepLibrary } from "./create_step_library.ts";
import { parseFeature } from "./parse_feature.ts";

const text = `Feature: versions
  Scenario: a newer one arrives
    Given node "vm-1" has version 2
    When these arrive:
      | vm-1 | 3 |
`;

test("parseFeature() returns steps with their tables, and step definitions match them by expression", (t) => {
  const [scenario] = parseFeature(text, "versions.feature");
  t.is(scenario?.name, "a newer one arrives");
  t.deepEqual(scenario?.steps[1]?.rows, [["vm-1", "3"]]);
  const seen: unknown[] = [];
  const library = createStepLibrary<undefined>([{
    expression: "node {string} has version {int}",
    run: (_, { values }) => void seen.push(...values),
  }]);
  library.find(scenario!.steps[0]!)?.(undefined, t);
  t.deepEqual(seen, ["vm-1", 2]);
  t.is(library.find(scenario!.steps[1]!), undefined);
});
