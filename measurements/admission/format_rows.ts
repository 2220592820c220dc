import Table from "cli-table3";
import type { ComparisonRow } from "./comparison_row.ts";
import type { Spread } from "./spread.ts";

/** Returns the rows of one comparison as a table for people. */
export function formatRows(rows: readonly ComparisonRow[]): string {
  const classes = Object.keys(rows[0]?.whole ?? {});
  const table = new Table({
    head: [
      "scenario",
      "variant",
      ...classes.map((name) => `${name}, whole %`),
      "failed in 1000",
      "ms to answer",
      "shed",
      "falls",
      "s to full limit",
    ],
    style: { head: [], border: [] },
  });
  table.push(...rows.map((row) => [
    row.scenario,
    row.variant,
    ...classes.map((name) =>
      formatSpread(row.whole[name], { factor: 100, digits: 1 })
    ),
    formatSpread(row.failedInThousand, { factor: 1, digits: 1 }),
    formatSpread(row.wholeMilliseconds, { factor: 1, digits: 0 }),
    formatSpread(row.shed, { factor: 1, digits: 0 }),
    formatSpread(row.falls, { factor: 1, digits: 1 }),
    formatSpread(row.fullLimitAfterMilliseconds, { factor: 0.001, digits: 1 }),
  ]));
  return `${rows[0]?.comparison ?? ""}\n${table.toString()}\n`;
}

function formatSpread(
  spread: Spread | undefined,
  options: { readonly factor: number; readonly digits: number },
): string {
  if (spread === undefined) return "";
  const format = (value: number) =>
    (value * options.factor).toFixed(options.digits);
  return `${format(spread.mean)} (${format(spread.least)} to ${
    format(spread.most)
  })`;
}
