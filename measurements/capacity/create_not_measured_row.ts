import type { CapacityRow } from "./capacity_row.ts";

/** Returns the row of a quantity whose measure has no result. */
export function createNotMeasuredRow(
  quantity: string,
  measureName: string,
): CapacityRow {
  return {
    quantity,
    derivation: `needs a run of \`${measureName}\``,
    figure: "not measured",
    limit: "",
  };
}
