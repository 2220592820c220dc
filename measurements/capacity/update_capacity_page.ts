import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { formatTable } from "../format_table.ts";
import { computeCallRows } from "./compute_call_rows.ts";
import { computeCompileAndPeerRows } from "./compute_compile_and_peer_rows.ts";
import { computeFleetRows } from "./compute_fleet_rows.ts";
import { computeQuestionRows } from "./compute_question_rows.ts";
import { readCapacityFigures } from "./read_capacity_figures.ts";
import { replaceMarkedBlock } from "./replace_marked_block.ts";

/**
 * Replaces the marked block of the page at `path` by the figures at the
 * two-year size, computed from the results in `folder`. Does nothing if the
 * page or its marks are missing.
 */
export function updateCapacityPage(folder: string, path: string): void {
  if (!existsSync(path)) {
    return;
  }
  const figures = readCapacityFigures(folder);
  const rows = [
    ...computeFleetRows(figures.fleet?.runs),
    ...computeCompileAndPeerRows(figures),
    ...computeCallRows(figures),
    ...computeQuestionRows(figures),
  ];
  const table = formatTable({
    title: "",
    columns: ["quantity", "worked out as", "at 1,200 nodes", "limit"],
    rows: rows.map((row) => [
      row.quantity,
      row.derivation,
      row.figure,
      row.limit,
    ]),
  });
  const page = replaceMarkedBlock(readFileSync(path, "utf8"), table);
  if (page !== undefined) {
    writeFileSync(path, page);
  }
}
