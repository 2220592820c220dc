import type { MeasureTable } from "./measure_table.ts";

/** Formats a table in Markdown, without its title. */
export function formatTable(table: MeasureTable): string {
  const toLine = (cells: readonly (string | number)[]) =>
    `| ${cells.join(" | ")} |`;
  return [
    toLine(table.columns),
    toLine(table.columns.map(() => "---")),
    ...table.rows.map(toLine),
  ].join("\n");
}
