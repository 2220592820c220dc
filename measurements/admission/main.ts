/**
 * Compares the admission with its baselines in virtual time.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { formatTable } from "../format_table.ts";
import { compare } from "./compare.ts";
import type { ComparisonRow } from "./comparison_row.ts";
import { comparisons } from "./comparisons.ts";
import { createTable } from "./create_table.ts";

const seeds = [1, 2, 3, 4, 5];
const quickSeeds = [1];

const { values } = parseArgs({
  options: {
    json: { type: "boolean", default: false },
    quick: { type: "boolean", default: false },
    /** The name of the one comparison to run; left out, all. */
    only: { type: "string" },
  },
});
const usedSeeds = values.quick ? quickSeeds : seeds;
const chosen = comparisons.filter(({ name }) =>
  values.only === undefined || name === values.only
);
const tables = await chosen.reduce<
  Promise<readonly (readonly ComparisonRow[])[]>
>(
  async (done, comparison) => [
    ...await done,
    await compare(comparison, { seeds: usedSeeds }),
  ],
  Promise.resolve([]),
);
if (values.json) {
  process.stdout.write(
    `${JSON.stringify({ seeds: usedSeeds, rows: tables.flat() })}\n`,
  );
} else {
  process.stdout.write(
    `Seeds ${usedSeeds.join(", ")}; median (lowest to highest)\n`,
  );
  tables.map(createTable).forEach((table) =>
    process.stdout.write(`\n${table.title}\n\n${formatTable(table)}\n`)
  );
}
