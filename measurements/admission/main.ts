/**
 * Compares admission policies with their baselines in virtual time and prints
 * the results as tables or JSON.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { formatTable } from "../format_table.ts";
import { runComparison } from "./run_comparison.ts";
import type { ComparisonRow } from "./comparison_row.ts";
import { comparisons } from "./comparisons.ts";
import { createComparisonTable } from "./create_comparison_table.ts";

const seeds = [1, 2, 3, 4, 5];
const quickSeeds = [1];

const { values } = parseArgs({
  options: {
    json: { type: "boolean", default: false },
    quick: { type: "boolean", default: false },
    /** Name of the only comparison to run; by default, all run. */
    only: { type: "string" },
  },
});
const selectedSeeds = values.quick ? quickSeeds : seeds;
const selectedComparisons = comparisons.filter(({ name }) =>
  values.only === undefined || name === values.only
);
const rowsByComparison = await selectedComparisons.reduce<
  Promise<readonly (readonly ComparisonRow[])[]>
>(
  async (finishedRows, comparison) => [
    ...await finishedRows,
    await runComparison(comparison, { seeds: selectedSeeds }),
  ],
  Promise.resolve([]),
);
if (values.json) {
  process.stdout.write(
    `${
      JSON.stringify({ seeds: selectedSeeds, rows: rowsByComparison.flat() })
    }\n`,
  );
} else {
  process.stdout.write(
    `Seeds ${selectedSeeds.join(", ")}; median (lowest to highest)\n`,
  );
  rowsByComparison.map(createComparisonTable).forEach((table) =>
    process.stdout.write(`\n${table.title}\n\n${formatTable(table)}\n`)
  );
}
