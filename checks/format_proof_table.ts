import Table from "cli-table3";
import type { EvaluatedProofRow } from "./evaluated_proof_row.ts";

/** Returns a text table for the terminal, with a line for each point and failure. */
export function formatProofTable(rows: readonly EvaluatedProofRow[]): string {
  const table = new Table({
    head: ["point", "promise", "failure", "verdict", "tests"],
    style: { head: [], border: [], compact: true },
  });
  table.push(...rows.map((row) => [
    String(row.point),
    row.promise,
    row.failure,
    row.verdict,
    String(row.passed.length + row.failed.length),
  ]));
  return table.toString();
}
