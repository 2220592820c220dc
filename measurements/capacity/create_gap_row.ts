import type { CapacityRow } from "./capacity_row.ts";

/** Returns the row of a quantity whose measure was not run. */
export function createGapRow(quantity: string, page: string): CapacityRow {
  return {
    quantity,
    workedOut: `needs a run of \`${page}\``,
    figure: "not measured",
    limit: "",
  };
}
