import {
  AstBuilder,
  compile,
  GherkinClassicTokenMatcher,
  Parser,
} from "@cucumber/gherkin";
import { IdGenerator } from "@cucumber/messages";
import type { Scenario } from "./scenario.ts";

/** Returns the scenarios of a feature file; each row of a scenario outline becomes its own scenario. */
export function parseFeature(text: string, file: string): readonly Scenario[] {
  const createIdentifier = IdGenerator.incrementing();
  const parser = new Parser(
    new AstBuilder(createIdentifier),
    new GherkinClassicTokenMatcher(),
  );
  const pickles = compile(parser.parse(text), file, createIdentifier);
  return pickles.map((pickle) => ({
    name: pickle.name,
    steps: pickle.steps.map((step) => ({
      text: step.text,
      line: pickle.location?.line ?? 0,
      rows:
        step.argument?.dataTable?.rows.map((row) =>
          row.cells.map((cell) => cell.value)
        ) ?? [],
    })),
  }));
}
