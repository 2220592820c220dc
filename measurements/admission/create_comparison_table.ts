import { formatSpread } from "../format_spread.ts";
import type { MeasureTable } from "../measure_table.ts";
import type { ComparisonRow } from "./comparison_row.ts";

/** Returns a table of the rows of one comparison. */
export function createComparisonTable(
  rows: readonly ComparisonRow[],
): MeasureTable {
  const classes = Object.keys(rows[0]?.whole ?? {});
  const formatScaled = (
    values: readonly number[] | undefined,
    factor: number,
  ) => formatSpread((values ?? []).map((value) => value * factor));
  return {
    title: rows[0]?.comparison ?? "",
    columns: [
      "load",
      "variant",
      ...classes.map((name) => `${name}, % whole`),
      "failed in 1,000",
      "ms to answer",
      "sheds",
      "falls",
      "s to the full limit",
    ],
    rows: rows.map((row) => [
      row.scenario,
      row.variant,
      ...classes.map((name) => formatScaled(row.whole[name], 100)),
      formatScaled(row.failedInThousand, 1),
      formatScaled(row.wholeMilliseconds, 1),
      formatScaled(row.shed, 1),
      formatScaled(row.falls, 1),
      formatScaled(row.fullLimitAfterMilliseconds, 0.001),
    ]),
  };
}
