import type { ProofRow } from "./proof_row.ts";

/** Returns the tag that the title of a test carries for this row. */
export function getProofTag(row: ProofRow): string {
  return `[point ${row.point}: ${row.failure}]`;
}
